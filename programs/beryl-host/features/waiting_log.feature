Feature: Log of what waiting steps wait for

  # Guards against a log that grows with each planning round.
  Scenario: A line for each change of the reason
    Given 3 steps that wait for "no-capacity"
    Then an update logs 3 lines
    And an update logs 0 lines
    When one of the steps waits for "capacity-in-pieces"
    Then an update logs 1 line
    When none of the steps waits, and then all do again
    Then an update logs 3 lines

  # Guards against a burst of lines that holds up the host.
  Scenario: Lines of one update are bounded, and the rest follow
    Given 50 steps that wait for "no-capacity"
    Then an update logs 20 lines
    And an update logs 20 lines
    And an update logs 10 lines
    And an update logs 0 lines
