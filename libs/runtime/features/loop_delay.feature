Feature: Delay of the event loop
  Timers fire in simulated seconds; nothing sleeps.

  # Guards against starts that are late because a host lacks processor time, while
  # nothing tells it from a wait for the store.
  Scenario: Work that blocks the event loop is logged with the delay that it caused
    Given an event loop whose delay is monitored
    When it runs for 12 s and work blocks it for 0.4 s at 3 s
    Then 1 line reports a delay of 0.30 s or more
    And the histogram has counted a delay of over 0.25 s

  # Guards against a log that grows with the delay of an overloaded host.
  Scenario: A loop that is blocked all the time is logged once a period
    Given an event loop whose delay is monitored
    When it runs for 30 s and work blocks it for 0.3 s every 0.2 s
    Then at least 4 and at most 6 lines report a delay

  # Guards against lines without news: a healthy host logs nothing of it.
  Scenario: Short delays are not logged
    Given an event loop whose delay is monitored
    When it runs for 12 s and work blocks it for 0.01 s every 0.3 s
    Then no line reports a delay
