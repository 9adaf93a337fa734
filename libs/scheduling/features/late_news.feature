Feature: Workers tell of submissions before the store's feed does
  After a takeover an earlier owner's runs may belong to submissions not heard of yet.

  Scenario: An end of an unknown submission is not acknowledged before it is counted
    Given a cell with 1 workers of 8 cores
    When a worker reports the end of a task whose submission is unknown
    Then nothing may be acknowledged
    When the submission becomes known
    Then the task counts as done and isn't started
    And the end may be acknowledged

  Scenario: A run of an unknown submission is adopted
    Given a cell with 2 workers of 8 cores
    When a worker reports a run of a task whose submission is unknown
    Then nothing is stopped
    When the submission becomes known
    Then the task isn't started a second time

  Scenario: A run whose submission stays unknown is stopped
    Given a cell with 1 workers of 8 cores
    When a worker reports a run of a task whose submission is unknown
    And 6 seconds pass
    Then the run is stopped
