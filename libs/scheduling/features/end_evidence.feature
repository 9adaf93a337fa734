Feature: Evidence on which a task starts again before the lease of its worker has expired
  A worker that its owner can't reach may run on until its lease ends.

  # Guards against TWICE: a worker that left the list and didn't answer was forgotten
  # together with a run whose submission wasn't known yet, and the task started elsewhere.
  Scenario: A worker that left the list stays known while the submission of a run isn't
    Given a cell with 2 workers of 8 cores
    When a worker reports a run of a task whose submission is unknown
    And that worker leaves the list, and its holds fail
    And the submission is added
    Then the task isn't started a second time
    When 5 seconds pass
    Then the task isn't started a second time
    When 2 seconds pass
    Then the task is started on the worker that answers

  # Guards against a leak: the worker above would be asked for its runs without end.
  Scenario: A worker with such a run is forgotten once every lease has expired
    Given a cell with 2 workers of 8 cores
    When a worker reports a run of a task whose submission is unknown
    And that worker leaves the list, and its holds fail
    And 5 seconds pass
    Then the worker that left is still known
    When 2 seconds pass
    Then the worker that left is forgotten
