Feature: Cell ownership, leases and recovery after failures
  No two attempts of a task overlap, no task is lost, and evicted tasks resume once.

  Scenario: A killed planner's cell is taken over and the job ends
    Given a fleet of 2 hosts and 4 workers in one data centre
    When a job "kill" of 120 tasks of 4 cores running 1.5 s is applied
    And 20 tasks of "kill" have started
    And the planner that owns the cell is killed
    Then the job "kill" finishes all 120 tasks
    And no two attempts of a task overlapped
    And no task of "kill" finished twice

  Scenario: A planner frozen for longer than its lease resumes as a non-owner
    Given a fleet of 2 hosts and 4 workers in one data centre
    When a job "freeze" of 120 tasks of 4 cores running 1.5 s is applied
    And 20 tasks of "freeze" have started
    And the planner that owns the cell is frozen for 6 s
    Then the job "freeze" finishes all 120 tasks
    And no two attempts of a task overlapped
    And no task of "freeze" finished twice
    And the cell has one owner

  Scenario: Running tasks continue while the table is down for longer than every lease
    Given a fleet of 2 hosts and 4 workers in one data centre
    When a job "outage" of 20 tasks of 4 cores running 6 s is applied
    And 20 tasks of "outage" have started
    And the platform is down
    And I wait 8 s
    And the platform has recovered
    Then the job "outage" finishes all 20 tasks
    And no two attempts of a task overlapped
    And no task lapsed or was restarted

  Scenario: Leases are renewed while the table is unresponsive
    Given a fleet of 2 hosts and 4 workers in one data centre
    When a job "swallow" of 20 tasks of 4 cores running 6 s is applied
    And 20 tasks of "swallow" have started
    And the platform leaves requests unanswered
    And I wait 8 s
    And the platform has recovered
    Then the job "swallow" finishes all 20 tasks
    And no two attempts of a task overlapped
    And no task lapsed or was restarted

  Scenario: Lost answers to committed table writes neither lose nor repeat tasks
    Given a fleet of 2 hosts and 4 workers in one data centre
    When the platform loses the next 25 answers to writes after they took effect
    And a job "lost" of 60 tasks of 4 cores running 0.5 s is applied until it is accepted
    Then the job "lost" finishes all 60 tasks
    And no two attempts of a task overlapped
    And no task of "lost" finished twice

  Scenario: A rack frozen past its leases ends its tasks before they start elsewhere
    Given a fleet of two racks
    When a job "rack" of 24 tasks of 4 cores running 4 s is applied
    And 24 tasks of "rack" have started
    And the rack that runs the tasks is frozen for 6 s
    Then the job "rack" finishes all 24 tasks
    And every task of "rack" lapsed once
    And no two attempts of a task overlapped
    And no task of "rack" finished twice

  Scenario: The tasks of a permanently lost rack run on another rack
    Given a fleet of two racks
    When a job "moved" of 24 tasks of 4 cores running 4 s is applied
    And 24 tasks of "moved" have started
    And the rack that runs the tasks is lost
    Then the job "moved" finishes all 24 tasks
    And no two attempts of a task overlapped

  Scenario: A restarted worker does not resume its earlier tasks
    Given a fleet of 2 hosts and 4 workers in one data centre
    When a job "restart" of 20 tasks of 4 cores running 2 s is applied
    And 20 tasks of "restart" have started
    And worker 1 restarts
    Then the job "restart" finishes all 20 tasks
    And no two attempts of a task overlapped

  Scenario: Cancellation also ends tasks whose start is in flight
    Given a fleet of 2 hosts and 4 workers in one data centre
    When a job "wave" of 100 tasks of 4 cores running 30 s is applied
    And 5 tasks of "wave" have started
    And the job "wave" is cancelled twice
    Then every task of "wave" ends and none starts again
    And no two attempts of a task overlapped

  Scenario: Urgent tasks evict batch tasks with a checkpoint, and these resume once
    Given a fleet of 2 hosts and 4 workers in one data centre
    When a job "batch" of 16 tasks of 8 cores running 6 s is applied
    And 15 tasks of "batch" have started
    And an urgent job "urgent" of 3 tasks of 8 cores running 1 s is applied
    Then the job "urgent" finishes all 3 tasks
    And the job "batch" finishes all 16 tasks
    And no more than 2 tasks were evicted
    And no two attempts of a task overlapped
    And the evicted tasks resumed from their checkpoints

  Scenario: Every host of a data centre is replaced while the table is down
    Given a fleet of 2 hosts and 4 workers in one data centre
    When a job "replace" of 40 tasks of 4 cores running 2 s is applied
    And 20 tasks of "replace" have started
    And the platform is down
    And every planner is killed and restarted
    And I wait 4 s
    And the platform has recovered
    Then the job "replace" finishes all 40 tasks
    And no two attempts of a task overlapped
    And no task of "replace" finished twice

  Scenario: A planner stopped gracefully hands its cells over and interrupts no task
    Given a fleet of 2 hosts and 4 workers in one data centre
    When a job "handover" of 20 tasks of 4 cores running 4 s is applied
    And 20 tasks of "handover" have started
    And the planner that owns the cell is stopped gracefully
    Then the job "handover" finishes all 20 tasks
    And no two attempts of a task overlapped
    And no task lapsed or was restarted

  Scenario: Batch tasks are throttled while the service beside them is slow, and finish later
    Given a fleet of 2 hosts and 4 workers in one data centre
    And the service cards is in force everywhere
    When a job "neighbour" of 16 tasks of 2 cores running 6 s is applied
    And 16 tasks of "neighbour" have started
    And the service on every worker is 1.3 times as slow
    Then tasks of "neighbour" are throttled and none is evicted
    When the service on every worker is 1.0 times as slow
    Then the job "neighbour" finishes all 16 tasks
    And no two attempts of a task overlapped
