Feature: Worker reports that arrive before their submission
  After a takeover, workers may report runs and ends of submissions that the new owner
  has not received from the store yet.

  Scenario: An end of an unknown submission is not acknowledged before it is counted
    Given a cell with 1 workers of 8 cores
    When a worker reports the end of a task whose submission is unknown
    Then no end may be acknowledged
    When the submission is added
    Then the task counts as done and isn't started
    And the end may be acknowledged

  Scenario: A run of an unknown submission is adopted
    Given a cell with 2 workers of 8 cores
    When a worker reports a run of a task whose submission is unknown
    Then no run is stopped
    When the submission is added
    Then the task isn't started a second time

  Scenario: A run whose submission stays unknown is stopped
    Given a cell with 1 workers of 8 cores
    When a worker reports a run of a task whose submission is unknown
    And 6 seconds pass
    Then the run is stopped

  # Guards against a worker that stays unused: its report raised IndexError, each time.
  Scenario Outline: An end of a task that doesn't exist is acknowledged and not counted
    Given a cell with 1 workers of 8 cores
    When the submission is added
    And the worker reports that task <index> of step <step> of occurrence <number> is done
    Then the end may be acknowledged
    And the submission has no task that is done

    Examples:
      | number | step | index |
      | 0      | 7    | 0     |
      | 0      | 0    | 9     |
      | 5      | 0    | 0     |
