Feature: Owners and workers that go together, with real host processes
  Two hosts of one data centre and several workers of one cell. The links between hosts,
  workers and store can be cut one by one.

  # Guards against long-running tasks without a run after a takeover: rule LOST allows
  # 3 s until their owner counts as gone, 4 s for the next one to act and 3 s to start.
  Scenario: Long-running tasks run again although their owner and a worker never return
    Given 2 isolated hosts and 4 isolated workers
    And a submission with 3 long-running tasks, each on a worker of its own
    And 4 submissions of short tasks
    When the owner and a worker with a long-running task go for good
    Then every long-running task runs 10.0 s after the owner went
    And no task of the cell ran twice at once
    And all submissions of short tasks end

  # Guards against a start elsewhere while an owner that nobody else reaches still renews
  # the leases of a worker that only it reaches.
  Scenario: A task starts elsewhere only once the run of a cut-off owner has ended
    Given 2 isolated hosts and 3 isolated workers
    And a submission with 1 long-running tasks, each on a worker of its own
    When the owner and that worker are cut off together
    Then the task runs on another worker
    When they are connected again
    Then no task of the cell ran twice at once

  # Guards against the start that a suspended owner was about to send: it continues after
  # the next owner has started the task elsewhere, at a worker that never heard of that.
  Scenario: A start that a suspended owner was about to send is not carried out
    Given 2 isolated hosts and 2 isolated workers
    And the entry of one worker is removed
    When new connections to the other worker hang
    And a submission with a long-running task is sent to the other host
    And the owner is suspended
    And the other worker takes the place of the owner's
    Then the task runs on another worker
    When the owner continues and reaches its worker
    Then no task of the cell ran twice at once
