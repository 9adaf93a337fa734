Feature: No start brings a worker over its capacity
  Workers need not check whether a task fits. Their capacity may shrink and grow.

  # Guards against LIMIT: the owner kept no capacity for a run that it had told to stop.
  Scenario: A run of an earlier owner that is stopped uses capacity until its end is listed
    Given a cell with 1 workers of 8 cores
    And the worker reports a run of 6 cores of a submission that was cancelled
    When a task of 5 cores is added
    Then no task is started
    When the end of the run is listed
    Then the task of 5 cores is started

  # Guards against LIMIT: the owner can't tell what such a run uses.
  Scenario: Nothing starts beside a run whose submission is unknown
    Given a cell with 1 workers of 8 cores
    And the worker reports a run of a submission that is unknown
    When a task of 5 cores is added
    Then no task is started
    When the submission with a step of 2 cores becomes known
    Then the task of 5 cores is started

  Scenario: A worker whose capacity has shrunk gets no task until it has grown again
    Given a cell with 1 workers of 8 cores
    When the capacity of the worker changes to 4 cores
    And a task of 5 cores is added
    Then no task is started
    When the capacity of the worker changes to 8 cores
    Then the task of 5 cores is started

  # Guards against LIMIT: a stopped run counts also on a worker that has shrunk.
  Scenario: Tasks that run on a worker whose capacity has shrunk below them count
    Given a cell with 1 workers of 8 cores
    When a task of 5 cores is added
    Then the task of 5 cores is started
    When the capacity of the worker changes to 6 cores
    And another task of 2 cores is added
    Then no task is started

  # Guards against a cell that stops planning: a division by the capacity.
  Scenario: A worker whose capacity has shrunk to nothing doesn't stop the cell
    Given a cell with 2 workers of 8 cores
    And a serving task and a filler run on each worker
    When the capacity of the worker changes to 0 cores
    And a task of 5 cores is added
    Then the task of 5 cores is started

  # Guards against LOST: other cells moved fillers to a cell where none could start, as its
  # serving tasks leave processor time but reserve more than the workers' capacity.
  Scenario: A worker whose capacity has shrunk below its runs has no headroom for fillers
    Given a cell with 1 workers of 8 cores
    And a serving task of 6 cores runs on the worker
    Then the headroom for fillers is some
    When the capacity of the worker changes to 5 cores
    And a filler of 1 core is added
    Then no task is started
    And the headroom for fillers is none
    When the capacity of the worker changes to 8 cores
    Then the headroom for fillers is some

  # Guards against LOST: a filler stayed in a cell that can't take it by force either, beside a
  # cell with room whose images it disturbs.
  Scenario Outline: A filler starves in a cell of <cores> cores, the other one has <free> free
    Given a cell with 1 workers of 8 cores
    And a serving task of 6 cores runs on the worker
    And fillers disturb serving tasks
    When the capacity of the worker changes to <cores> cores
    And a filler of 1 core waits for 3 seconds beside a cell with <free> of 32 cores free
    Then the filler was <handled>

    Examples:
      | cores | free | handled            |
      | 5     | 32   | moved              |
      | 5     | 8    | neither            |
      | 8     | 32   | forced             |

  # Guards against LIMIT: the next incarnation may have another capacity.
  Scenario: Nothing starts on a restarted worker before the list names its capacity
    Given a cell with 1 workers of 8 cores
    When the worker restarts and reports before the list names the restart
    And a task of 5 cores is added
    Then no task is started
    When the list names the restart with 8 cores
    Then the task of 5 cores is started

  # Guards against LIMIT: the list may lack that a capacity has shrunk.
  Scenario: Nothing starts on workers that check nothing while the list is out of date
    Given a cell with 1 workers of 8 cores
    And its workers don't check whether a task fits
    When the list of workers is 5 seconds old
    And a task of 5 cores is added
    Then no task is started
    When the list of workers is 3 seconds old
    Then the task of 5 cores is started

  Scenario: Tasks start on workers that check their capacity though the list is out of date
    Given a cell with 1 workers of 8 cores
    When the list of workers is 5 seconds old
    And a task of 5 cores is added
    Then the task of 5 cores is started
