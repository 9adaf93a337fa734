Feature: Moves of tasks between cells, and cancellations, in the store
  Each cell has its own copy of a submission's rows; all copies are written together.

  Scenario: A cancellation reaches the cells that tasks were moved to
    Given a submission with a task moved from cell "r1" to "r2"
    When it is cancelled
    Then it is cancelled in the cells "r1 r2"

  Scenario: A cancellation that has missed a move is sent again
    Given a submission of cell "r1"
    And a host that has read it
    When a task of it moves to "r2"
    And the host cancels it
    Then the cancellation conflicts
    And it is not cancelled in the cells "r1 r2"

  Scenario: No task of a cancelled submission moves
    Given a submission of cell "r1"
    And a host that has read it
    When it is cancelled
    And the host moves a task to "r2"
    Then the move conflicts
    And cell "r2" knows nothing of it

  # Guards against LOST: a move that lost the race against the move of another task of its
  # submission was dropped, and its task waited for seconds until it was proposed again.
  Scenario: A move is sent again at once after the move of another task
    Given a submission of cell "r1"
    And the owner of "r1" has read it
    When another task of it moves to "r2"
    And the owner moves a task to "r3"
    Then the cells "r1 r2 r3" know that it is in "r3"
    And the cells "r1 r2 r3" know that the other task is in "r2"
    And the move is settled once

  Scenario Outline: A move is dropped if <what>
    Given a submission of cell "r1"
    And the owner of "r1" has read it
    When <event>
    And the owner moves a task to "r3"
    Then cell "r3" knows nothing of it
    And the move is settled once

    Examples:
      | what                         | event                               |
      | the submission is cancelled  | it is cancelled                     |
      | the cell has another owner   | another host acquires the cell "r1" |
      | the task is elsewhere by now | a task of it moves to "r2"          |

  Scenario: The cell that a task leaves learns where it goes
    Given a submission with a task moved from cell "r1" to "r2"
    When the task moves on to "r3"
    Then the cells "r1 r2 r3" know that it is in "r3"

  Scenario: A submission is accepted once, whichever cell is chosen
    Given a submission of cell "r1"
    When it is accepted again for cell "r2"
    Then its home is "r1" and cell "r2" knows nothing of it

  # Guards against TWICE: an end that came in where its task no longer runs.
  Scenario: An end that comes in late is reported to the cell that has the task
    Given a submission with a task moved from cell "r1" to "r2"
    When the owner of "r1" settles the task's end while "r2" records it
    Then cell "r2" was told that the task is done
    And the end is settled

  Scenario: An end waits while the cell that has the task doesn't record it
    Given a submission with a task moved from cell "r1" to "r2"
    When the owner of "r1" settles the task's end while "r2" doesn't record it
    Then the end isn't settled

  Scenario: An end of a submission that the owner doesn't know is counted in its own cell
    Given a submission with a task moved from cell "r1" to "r2"
    When the owner of "r2" settles the task's end while "r2" records it
    Then the owner of "r2" knows the submission
    And the end isn't settled

  Scenario: An end of a submission that nobody submitted is settled
    Given a submission of cell "r1"
    When the owner of "r1" settles an end of another submission
    Then the end is settled

  # Guards against LOST: the loop that reports such ends raised IndexError.
  Scenario: An end of a task that doesn't exist is settled without a report
    Given a submission of cell "r2"
    When the owner of "r1" settles an end of a task of a step that doesn't exist
    Then cell "r2" was told nothing
    And the end is settled

  # Guards against TWICE: an old read must not give a moved task back to its cell.
  Scenario: A slow read doesn't undo a move that is known
    Given a submission with a task moved from cell "r1" to "r2"
    And a host that knows of a later move than a slow read
    When the read arrives
    Then the host still knows that the task is in "r2"

  # Guards against LOST: a standing task is never done.
  Scenario: An end of a standing task is settled without a report
    Given a standing submission with a task moved from cell "r1" to "r2"
    When the owner of "r1" settles the task's end while "r2" records it
    Then cell "r2" was told nothing
    And the end is settled

  # Guards against LOST: the tasks of a move that is never applied neither moved nor started.
  Scenario: A move that is too large for the store is given up
    Given a submission of cell "r1"
    When its owner moves a task of it to each of 120 cells
    Then the move is settled and its tasks stay in cell "r1"

  # Guards against LOST: no move was proposed until the reports to all homes that don't
  # answer had timed out one after the other, and no other home learned of an end.
  Scenario: A home cell that doesn't answer delays neither moves nor other reports
    Given a cell with ends of 20 submissions, of whose home cells all but the last are cut off
    When its moves are played for 1 s
    Then moves have been proposed at least 3 times
    And the end of the last submission is confirmed
    And no home cell got two reports at a time
