Feature: Relocation of long-running tasks out of an evacuated data centre
  A task is stopped only if another cell can hold it, and only if no more than
  max_unavailable tasks of its step are then unavailable, or were in the last 5.5 s.

  Background:
    Given a cell with 2 workers of 8 cores
    And evacuations with a deadline of 5 s and an outage allowance of 6 s

  # Guards against a stop beyond max_unavailable, and of a step that has none.
  Scenario Outline: At most 3 tasks are stopped at a time, and as many as may be missing
    Given 6 long-running tasks run of which <allowed> may be unavailable
    When 6 seconds pass with reads: evacuated
    And the other cell has 16 free cores
    Then <n> runs are stopped

    Examples:
      | allowed | n |
      | 6       | 3 |
      | 2       | 2 |
      | 1       | 1 |
      | 0       | 0 |
      | no task | 0 |

  Scenario: Nothing is stopped in a data centre that isn't evacuated
    Given 6 long-running tasks run of which 6 may be unavailable
    When 6 seconds pass with reads: not evacuated
    And the other cell has 16 free cores
    Then 0 runs are stopped

  # Guards against a stopped task that no cell can hold.
  Scenario Outline: Runs are stopped only while another cell's headroom holds their tasks
    Given 6 long-running tasks run of which 6 may be unavailable
    When 6 seconds pass with reads: evacuated
    And the other cell has <cores> free cores
    Then <n> runs are stopped

    Examples:
      | cores | n |
      | 0     | 0 |
      | 1     | 0 |
      | 3     | 2 |

  # Guards against a stop for which the step's tasks in other cells aren't counted.
  Scenario: Another cell than the home doesn't stop runs
    Given 6 tasks that were moved here run of which 6 may be unavailable
    When 6 seconds pass with reads: evacuated
    And the other cell has 16 free cores
    Then 0 runs are stopped

  # Guards against a stop beside a task that has failed, or has only just returned.
  Scenario: A task that failed counts until it has been available for 5.5 s again
    Given 6 long-running tasks run of which 1 may be unavailable
    When 6 seconds pass with reads: not evacuated
    And a task fails
    And 4 seconds pass with reads: not evacuated
    And 1 seconds pass with reads: evacuated
    And the other cell has 16 free cores
    Then 0 runs are stopped
    When 1 seconds pass with reads: evacuated
    And the other cell has 16 free cores
    Then 1 runs are stopped

  # Guards against a stop beside a task that runs but isn't ready.
  Scenario: A task that is reported with less than 100 percent counts as unavailable
    Given 6 long-running tasks run of which 1 may be unavailable
    And a task is reported with 90 percent
    When 6 seconds pass with reads: evacuated
    And the other cell has 16 free cores
    Then no other run than that is stopped

  # Guards against a stop beside tasks of which nothing is known.
  Scenario: Tasks of a worker that doesn't answer count as unavailable
    Given 6 long-running tasks run of which 1 may be unavailable
    When 6 seconds pass with reads: evacuated
    And a worker stops answering
    And 3 seconds pass with reads: evacuated
    And the other cell has 16 free cores
    Then 0 runs are stopped

  # Guards against stops by an owner that can't move the tasks afterwards.
  Scenario: An owner that can't read the requests stops nothing
    Given 6 long-running tasks run of which 6 may be unavailable
    When 6 seconds pass with reads: evacuated
    And 3.2 seconds pass without reads
    And the other cell has 16 free cores
    Then 0 runs are stopped

  # Guards against two tasks away within 5.5 s though only one may be unavailable.
  Scenario: The next task is stopped 5.5 s after the last one has moved away
    Given 6 long-running tasks run of which 1 may be unavailable
    When 6 seconds pass with reads: evacuated
    And the other cell has 16 free cores
    Then 1 runs are stopped
    When the stopped runs end
    And the other cell has 16 free cores
    Then a move of 1 tasks is proposed and 0 runs are stopped
    When the move is recorded
    And 5 seconds pass with reads: evacuated
    And the other cell has 16 free cores
    Then 0 runs are stopped
    When 1 seconds pass with reads: evacuated
    And the other cell has 16 free cores
    Then 1 runs are stopped

  # Guards against many moves on the same headroom, which is up to 2 s old.
  Scenario: Tasks that have just moved away count as being relocated
    Given 6 long-running tasks run of which 6 may be unavailable
    When 6 seconds pass with reads: evacuated
    And the other cell has 16 free cores
    Then 3 runs are stopped
    When the stopped runs end
    And the other cell has 16 free cores
    Then a move of 3 tasks is proposed and 0 runs are stopped
    When the move is recorded
    And 1 seconds pass with reads: evacuated
    And the other cell has 16 free cores
    Then 0 runs are stopped
    When 1.2 seconds pass without reads
    And the other cell has 16 free cores
    Then 3 runs are stopped

  # Guards against a stop in favour of another worker of the cell, which may start nothing.
  Scenario: A draining worker's tasks aren't stopped for another worker of the cell
    Given 6 long-running tasks run of which no task may be unavailable
    When 1 seconds pass with reads: evacuated
    And a worker drains
    And 1 seconds pass with reads: evacuated
    Then 0 runs are stopped
    When 1 seconds pass with reads: not evacuated
    Then 3 runs are stopped

  # Guards against a stop beside tasks that were unavailable while the owner was suspended.
  Scenario: An owner stops nothing in the first 5.5 s after it was suspended
    Given 6 long-running tasks run of which 1 may be unavailable
    When 6 seconds pass with reads: evacuated
    And the owner is suspended for 4 s
    And 5 seconds pass with reads: evacuated
    And the other cell has 16 free cores
    Then 0 runs are stopped
    When 1 seconds pass with reads: evacuated
    And the other cell has 16 free cores
    Then 1 runs are stopped

  # Guards against a stop by an owner that doesn't know what was unavailable before it.
  Scenario: An owner stops nothing in the first 5.5 s after a takeover
    Given 6 long-running tasks run of which 1 may be unavailable
    When 5 seconds pass with reads: evacuated
    And the other cell has 16 free cores
    Then 0 runs are stopped
