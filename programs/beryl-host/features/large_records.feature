Feature: Records of submissions that are larger than the store's rows
  Runs in memory, on a store that rejects rows of more than 64 KB.

  # Guards against submissions that are never done: the store rejected the record of a
  # step of 13,500 tasks, and with it every other record of the cell.
  Scenario Outline: A step of <n> tasks of which <which> are done is recorded
    Given a cell with recorded workers "w1"
    And a submission of <n> tasks and 60 of one task in the cell
    When <which> of the <n> tasks and the 60 others end, and the cell records for 3 s
    Then all 60 others are recorded as done
    And the next owner reads the same tasks of the large one as done
    And all ends are acknowledged
    And the store rejected at most 10 commits

    Examples:
      | n      | which           |
      | 13500  | all             |
      | 13500  | all but one     |
      | 100000 | all             |
      | 100000 | about half      |

  # Guards against a record that keeps the others of its cell from being written.
  Scenario: A record that can't be made small enough doesn't delay the others
    Given a cell with recorded workers "w1"
    And a submission of 13500 tasks and 60 of one task in the cell
    And the store rejects rows of more than 400 bytes
    When about half of the 13500 tasks and the 60 others end, and the cell records for 3 s
    Then all 60 others are recorded as done
    And nothing is acknowledged
    And the store rejected at most 10 commits

  # Guards against a next owner that waits for leases: the release was rejected as well.
  Scenario: A cell with a record that is too large is released
    Given a cell with recorded workers "w1"
    And a submission of 13500 tasks and 60 of one task in the cell
    And the store rejects rows of more than 400 bytes
    When about half of the 13500 tasks and the 60 others end, and the cell records for 0 s
    Then the cell has no owner

  # Guards against 1 MB of records in one transaction, which the store rejects.
  Scenario: Records that exceed one transaction together are written in several
    Given a cell with recorded workers "w1"
    And 40 submissions of 10000 tasks in the cell
    When all of their tasks end and the cell records for 6 s
    Then all 40 others are recorded as done
    And the store rejected at most 0 commits

  # Guards against TWICE: a host that can't read the compact form runs the tasks again.
  Scenario: Hosts of the earlier version read a record that fits, or nothing of it
    Given progress with a final state, failed, crashed and presumed runs and checkpoints
    Then its plain record is as the earlier version writes it
    And its compact record is read as the same progress
    And the earlier version rejects its compact record

  # Guards against a host that runs out of memory on a row that another wrote.
  Scenario Outline: A compact record that is <fault> is malformed
    Given progress with a final state, failed, crashed and presumed runs and checkpoints
    Then its compact record that is <fault> is malformed

    Examples:
      | fault                       |
      | cut short                   |
      | followed by more            |
      | of no compressed text       |
      | of 32 MB of text            |
      | of a billion tasks          |
