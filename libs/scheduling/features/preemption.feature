Feature: Long-running tasks yield to short ones
  A long-running task keeps its capacity for as long as it runs. Short tasks that are in
  time replace some of them for seconds where a service is full.

  # Guards against short tasks that starve in a service which long-running ones fill: each
  # gap between short tasks was taken for good.
  Scenario Outline: Short submissions end in time in a service full of long-running tasks, seed <seed>
    Given 2 cells whose long-running tasks reserve all processors, while more of them wait
    When short submissions that need 6 percent of the processors come for 30 s, seed <seed>
    Then at least three quarters of the short submissions are in time
    And at most 15 percent of the long-running tasks of a cell yield at a time
    And no long-running task waits for 3 s beside capacity for two

    Examples:
      | seed |
      | 1    |
      | 2    |

  # Guards against a bound on unavailable tasks that preemption ignores.
  Scenario: Tasks whose unavailability is bounded don't yield
    Given a full worker of long-running tasks of which 1 may be unavailable
    When a short task that is in time waits for 2 s
    Then no long-running task has ended

  # Guards against work of a lower priority that displaces long-running tasks.
  Scenario: Tasks of a higher priority don't yield
    Given a full worker of long-running tasks of a higher priority
    When a short task that is in time waits for 2 s
    Then no long-running task has ended

  # Guards against long-running tasks that are stopped for what is late anyway.
  Scenario: Nothing yields to a late task
    Given a full worker of long-running tasks
    When a short task that is late waits for 2 s
    Then no long-running task has ended

  # Guards against a preempted task that takes the capacity back at once.
  Scenario: A task that has yielded leaves its capacity to further short tasks for 4 s
    Given a full worker of long-running tasks
    When a short task that is in time waits for 2 s
    And a second short task comes
    Then the second short task starts within 0.2 s
    And the long-running task that yielded runs again 4 to 9 s after its end

  # Guards against new long-running tasks that take the capacity which short ones wait for.
  Scenario: A long-running task that hasn't run yet comes after short tasks in time
    Given a full worker of long-running tasks, one of which is cancelled
    When a long-running task that hasn't run and a short task in time wait
    Then the short task starts first and the long-running task after it

  # Guards against LOST: capacity that was kept for a prepared start counted as taken, and
  # the task that it was kept for left it to short tasks once more.
  Scenario Outline: A long-running task that <history> starts beside capacity for two
    Given a worker with capacity for two long-running tasks, where one has just yielded
    When a long-running task that <history> waits
    Then it starts within 3.0 s

    Examples:
      | history                           |
      | hasn't run                        |
      | may have crashed a worker before  |
