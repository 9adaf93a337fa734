Feature: Cell ownership after an owner and a worker that never come back
  The real scheduler runs in simulated time. An owner goes without telling that it has
  stopped: for good, cut off from the store, cut off together with a worker, or suspended
  until after the takeover, 3.5 to 4 s later. A worker with runs has gone just before, or
  only that owner reaches it. Then all is calm.

  # Guards against LOST (issue 55): the next owner, which can't ask the one that went, lets
  # all tasks of the cell wait for one worker that never answers, for longer than 10 s
  # after the owner went and 9 s after a task's last run.
  # Guards against TWICE: the next owner waits for less than the leases of the one that
  # went last.
  Scenario Outline: No long-running task waits for long for an owner that is gone and a worker that never answers, <n_cells> cells
    When 30 histories of 45 seconds with <n_cells> cells and a pair that never comes back are simulated from seed 1
    Then no task ran twice, before its dependencies, or beyond its attempts
    And no end was acknowledged before it was recorded
    And no work waited for long beside free capacity

    Examples:
      | n_cells |
      | 2       |
      | 4       |

  # Guards against a check that finds nothing.
  Scenario: Histories with a pair that never comes back show a second run without the takeover wait
    When histories with a pair that never comes back are simulated without "takeover wait" until a task runs twice
    Then a violation was found
