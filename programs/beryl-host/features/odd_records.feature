Feature: Records of submissions, and loads, that can't be read
  What can't be read isn't "none": which tasks run where, or are done, isn't known.

  # Guards against TWICE: an end was acknowledged as one of a submission that nobody
  # submitted, and the next owner ran the task again.
  Scenario Outline: An end waits while the <row> of its submission is <fault>
    Given a submission with a task moved from cell "r1" to "r2"
    And the row of its <row> is <fault>
    When the owner of "r1" settles the task's end 3 times
    Then the end isn't settled
    And 1 unreadable row was logged
    When the row of its <row> is as it was
    And the owner of "r1" settles the task's end 1 times
    Then the end is settled

    Examples:
      | row        | fault             |
      | home       | cut short         |
      | home       | not text          |
      | home       | nested too deeply |
      | acceptance | cut short         |
      | acceptance | not text          |
      | acceptance | nested too deeply |
      | acceptance | with a time of 400 digits |
      | acceptance | with too many tasks       |
      | moves      | cut short         |
      | moves      | not text          |
      | moves      | nested too deeply |

  # Guards against an end that counts as nobody's because the home names another cell.
  Scenario: An end waits while the acceptance is missing where the home says it is
    Given a submission with a task moved from cell "r1" to "r2"
    And the row of its acceptance is missing
    When the owner of "r1" settles the task's end 3 times
    Then the end isn't settled
    And 1 unreadable row was logged

  # Guards against LOST: an accepted submission whose home can't be read was answered 410.
  Scenario Outline: A client that asks for a submission whose home is <fault> asks again
    Given a submission of cell "r1"
    And the row of its home is <fault>
    When a client sends GET and DELETE for it
    Then it is answered 503 and 503

    Examples:
      | fault             |
      | cut short         |
      | nested too deeply |

  # Guards against TWICE: moves that could not be read counted as none, and tasks that run
  # in other cells started in their home cell.
  Scenario Outline: No task starts whose moves are <fault>, until they are readable
    Given a cell with recorded workers "w1"
    And two submissions, and the moves of the first are <fault>
    When a host acquires the cell whose moves may be unreadable, and later can read them
    Then tasks of the second submission alone start
    And the task of the first submission that wasn't moved starts once they can be read

    Examples:
      | fault             |
      | cut short         |
      | not text          |
      | nested too deeply |
      | beyond all runs   |

  # Guards against LOST: only this owner moves tasks of its cell, so those stay known.
  Scenario: An owner goes on with the tasks that it has when later moves are cut short
    Given a cell with recorded workers "w1"
    And two submissions, and the moves of the first are as they were
    When a host acquires the cell, and then reads later moves that are cut short
    Then tasks of both submissions start

  # Guards against LOST: each owner of the cell took the move for the proof of a later one,
  # and gave the cell up.
  Scenario Outline: A task moved here under an epoch that its cell never had starts
    Given a cell with recorded workers "w1"
    And a submission with a task moved to it under the epoch <epoch>, stored <moment>
    When a host acquires the cell under the epoch 2, and "w1" reports its runs
    Then the cell is <state>

    Examples:
      | epoch | moment               | state      |
      | 1000  | before its owner row | in use     |
      | 2     | before its owner row | in use     |
      | 1     | before its owner row | in use     |
      | 1000  | after its owner row  | fenced out |

  # Guards against LOST and refused submissions: one number too large in a load ended the
  # mover of every cell, and each POST was answered 500.
  Scenario Outline: A load with an odd <number> is left out, and the others count
    Given a host that knows the loads of the cells "r1 r2"
    When the load of "r1" with an odd <number> arrives 3 times
    Then a submission is admitted to a known cell
    And a task of another cell finds headroom in "r2"
    And 1 unreadable row was logged

    Examples:
      | number        |
      | capacity      |
      | free          |
      | waiting       |
      | filler room   |
      | fill waiting  |
      | pending       |
      | stuck         |
      | worker        |
      | work          |
      | late work     |
      | slack         |
      | processors    |
      | submissions   |
      | admitted      |

  # Guards against LOST: no work went to a cell whose later loads were taken for those of
  # an earlier owner.
  Scenario Outline: A load under an epoch that its cell never had replaces no other
    Given a host that knows <known>
    When loads of "r1" under the epochs "<epochs>" and the owner row of epoch 1 arrive
    And a load of "r1" with the free capacity 5000 arrives under the epoch 1
    Then the load of "r1" that counts has the free capacity 5000

    Examples:
      | known                           | epochs |
      | the loads of the cells "r1 r2"  | 1000   |
      | the loads of the cells "r1 r2"  | 3 1000 |
      | the loads of the cells "r2"     | 1000   |

  # Guards against a cell that seems to have no owner until its next load.
  Scenario: A load that arrives before its owner's row counts once that has arrived
    Given a host that knows the loads of the cells "r1 r2"
    When a load of "r1" with the free capacity 5000 arrives under the epoch 2
    And the owner row of epoch 2 of "r1" arrives
    Then the load of "r1" that counts has the free capacity 5000
