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

  # Guards against TWICE (issue 55): an owner's limit counts from a heartbeat that the next
  # owner doesn't know of. Heartbeats fail while reads succeed, and succeed again after the
  # takeover, which the owner reads late.
  Scenario: No task runs twice though the heartbeats of its owner fail and succeed again
    When 4 histories of 45 seconds with 2 cells and an owner whose heartbeats fail are simulated from seed 30
    Then no task ran twice, before its dependencies, or beyond its attempts
    And no end was acknowledged before it was recorded

  # Guards against LOST (issue 55): the same wait for an owner whose heartbeats fail.
  Scenario Outline: No long-running task waits for long for an owner whose heartbeats fail, from seed <seed>
    When <n> histories of 45 seconds with 2 cells and an owner whose heartbeats fail are simulated from seed <seed>
    Then no task ran twice, before its dependencies, or beyond its attempts
    And no end was acknowledged before it was recorded
    And no work waited for long beside free capacity

    Examples:
      | n | seed |
      | 8 | 1    |
      | 1 | 30   |

  # Guards against a check that finds nothing.
  Scenario Outline: Histories with a pair that never comes back show a second run without <mechanism>
    When histories with a pair that never comes back are simulated without "<mechanism>" until a task runs twice
    Then a violation was found

    Examples:
      | mechanism       |
      | takeover wait   |
      | limit of leases |

  # Guards against a check that finds nothing.
  Scenario: Histories with heartbeats that fail show a second run without the heartbeat before the confirmation
    When histories with an owner whose heartbeats fail are simulated without "heartbeat before the confirmation" until a task runs twice
    Then a violation was found
