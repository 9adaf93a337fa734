Feature: Moves at once of tasks that can't start in their cell
  The load patterns: steps wider than the free capacity of their cell beside cells with
  capacity, and several cells that spill into one at once.

  Scenario: Interactive steps wider than the free capacity of their cell
    Given interactive steps of 24 tasks for cells of 16, 32 and 32 cores, of 4 seeds
    Then by expected finish more submissions are in time, and what counts is worth as much
    And no task has moved more than twice
    And every submission ends

  # Guards against the herd effect: two cells that both take the same headroom.
  Scenario: Two cells spill into a third at once
    Given two full cells whose tasks wait and a third cell with capacity
    When both propose moves on the same load of the third cell
    Then tasks of both are moved, in all no more than the third cell has capacity for
    When both propose moves on that load again
    Then no further task is moved

  # Guards against moves to cells whose state is unknown.
  Scenario Outline: No task moves on a load that is <state>
    Given two full cells whose tasks wait and a third cell with capacity
    When a full cell proposes moves on a load that is <state>
    Then <n> of its tasks are moved

    Examples:
      | state     | n    |
      | missing   | none |
      | 3.5 s old | none |
      | 2.5 s old | some |

  # Guards against proposals in quick succession that the store rejects.
  Scenario: A proposal that conflicts is made again after 0.3 s
    Given two full cells whose tasks wait and a third cell with capacity
    When a proposal of a full cell is rejected by the store
    Then its step is proposed again 0.3 s later and not before

  # Guard against tasks that go to and fro between full cells.
  Scenario: A task doesn't move within 1 s of its last move
    Given two full cells whose tasks wait and a third cell with capacity
    When a task that has moved once arrives in a full cell
    Then it may move on after 1 s and not before

  Scenario: A task that has moved twice stays
    Given two full cells whose tasks wait and a third cell with capacity
    When a task that has moved twice arrives in a full cell
    Then it stays for the next 2 s

  # Guards against a move that takes longer than the run that it waits for.
  Scenario: What can start here within 0.2 s stays
    Given two full cells whose tasks wait and a third cell with capacity
    When the runs of a full cell are expected to end within 0.1 s
    Then none of its tasks are moved

  # Guards against LOST: standing tasks of several cells, or of several rounds, that all go
  # to the cell with the most room, on loads that don't show each other or are too old, and
  # that don't go where one task fits.
  Scenario Outline: <n_stuck> standing tasks are stuck in each of <n> cells, loads <age> s old
    Given <n> cells in each of which <n_stuck> standing tasks of 4 cores are stuck
    When each proposes moves twice to cells of "<cores>" cores on loads <age> s old
    Then <n_moved> tasks are moved, to each cell some but no more than it has capacity for

    Examples:
      | n  | n_stuck | cores    | age | n_moved |
      | 12 | 1       | 40 20 20 | 2.5 | 12      |
      | 1  | 4       | 12       | 2.5 | 3       |
      | 1  | 1       | 4        | 2.5 | 1       |
      | 1  | 4       | 12       | 3.5 | 0       |

  # Guards against LOST: what waits in a cell without fitting there, or for reports of its
  # workers after a takeover, counted as if it took the slot of the standing task.
  Scenario: A standing task moves to a cell where other tasks wait beside a whole slot
    Given 1 cells in each of which 1 standing tasks of 4 cores are stuck
    When it proposes moves to a cell with 2 slots of 4 cores, where 16 cores are waited for
    Then 1 tasks are moved, to each cell some but no more than it has capacity for

  # Guards against LOST: the tasks of a lost rack waited for room that full cells never
  # report, as short tasks that wait there take what becomes free.
  Scenario Outline: A standing task whose cell has <workers> <moves> to a full cell <switch> expected finish
    Given a cell <switch> expected finish with <workers>, in which a standing task of 4 cores is stuck for <stuck> s
    When it proposes moves to a full cell of 40 cores
    Then <n> tasks are moved there

    Examples:
      | switch  | workers                 | stuck | moves       | n |
      | with    | no worker               | 2.0   | moves       | 1 |
      | without | no worker               | 2.0   | moves       | 1 |
      | with    | no worker               | 1.0   | can't move  | 0 |
      | with    | a full worker           | 2.0   | can't move  | 0 |
      | with    | a worker that is drained | 2.0  | moves       | 1 |

  # Guards against LOST: without ``expected_finish`` only a share of a cell's headroom, less
  # than its only slot, was used, and nothing where other tasks wait.
  Scenario Outline: A standing task moves to one slot, <waiting> cores waited for, without expected finish
    Given a full cell without expected finish, in which a standing task of 4 cores is stuck
    When it proposes moves to a cell with 1 slots of 4 cores, where <waiting> cores are waited for
    Then 1 tasks are moved, to each cell some but no more than it has capacity for

    Examples:
      | waiting |
      | 0       |
      | 16      |

  # Guards against LOST: a task stayed in its full cell for as long as each other cell had
  # only one slot for it, of which a share was used (LivenessSimulation(49, 2) and (91, 2)).
  Scenario Outline: A task stuck for <stuck> s moves to a cell's only slot if <free> cores of 40 are free there, <switch> expected finish
    Given a full cell <switch> expected finish, in which a task of 4 cores is stuck for <stuck> s
    When it proposes moves to two cells of 40 cores with a slot of 4 cores and <free> cores free
    Then the task <moves> to one of them

    Examples:
      | switch  | stuck | free | moves        |
      | with    | 2.0   | 30   | moves        |
      | without | 2.0   | 30   | moves        |
      | with    | 1.0   | 30   | moves        |
      | without | 1.0   | 30   | doesn't move |
      | with    | 2.0   | 10   | moves        |
      | without | 2.0   | 10   | doesn't move |

  # Guards against tasks that wait while each of the other cells has a worker for one:
  # a part of such headroom in processor time holds no task.
  Scenario: A step wider than its cell takes the gaps of one task in other cells
    Given 1 full cell where 10 tasks of 4 cores wait, and 21 cells with a gap of 5 cores
    When each full cell proposes moves on the same loads
    Then all 10 tasks of each are moved, at most 1 to a cell

  # Guards against two tasks for one gap.
  Scenario: Full cells share the gaps of one task in other cells
    Given 3 full cells where 10 tasks of 4 cores wait, and 21 cells with a gap of 5 cores
    When each full cell proposes moves on the same loads
    Then each moves some tasks, and at most 1 is moved to a cell
    When each full cell proposes moves on the same loads
    Then no further task is moved by any

  # Guards against steps that take seconds longer than their work while there are gaps.
  Scenario: Interactive steps wider than any cell's free capacity in a nearly full service
    Given interactive steps of 10 tasks of 4 cores, every 1.0 s, in 20 cells with a gap for one task each
    Then at least 9 of 10 are in time
    And every submission ends
