Feature: Cells, leases and recovery under failure
  No task runs in two places at once, none is lost, and evicted work resumes once.

  Scenario: A killed planner's cell is taken over and the job ends
    Given a fleet of 2 hosts and 4 workers in one data centre
    When a job "kill" of 120 tasks of 4 cores running 1.5 s is applied
    And 20 tasks of "kill" have started
    And the planner that owns the cell is killed
    Then the job "kill" finishes all 120 tasks
    And no task ran in two places at once
    And no task of "kill" finished twice

  Scenario: A planner frozen past its lease wakes as a non-owner
    Given a fleet of 2 hosts and 4 workers in one data centre
    When a job "freeze" of 120 tasks of 4 cores running 1.5 s is applied
    And 20 tasks of "freeze" have started
    And the planner that owns the cell is frozen for 6 s
    Then the job "freeze" finishes all 120 tasks
    And no task ran in two places at once
    And no task of "freeze" finished twice
    And the cell has one owner

  Scenario: With the table down for longer than every lease, running work goes on
    Given a fleet of 2 hosts and 4 workers in one data centre
    When a job "outage" of 20 tasks of 4 cores running 6 s is applied
    And 20 tasks of "outage" have started
    And the platform is down
    And I wait 8 s
    And the platform is well again
    Then the job "outage" finishes all 20 tasks
    And no task ran in two places at once
    And no task lapsed or was restarted

  Scenario: With the table swallowing requests, renewals go on
    Given a fleet of 2 hosts and 4 workers in one data centre
    When a job "swallow" of 20 tasks of 4 cores running 6 s is applied
    And 20 tasks of "swallow" have started
    And the platform swallows requests
    And I wait 8 s
    And the platform is well again
    Then the job "swallow" finishes all 20 tasks
    And no task ran in two places at once
    And no task lapsed or was restarted

  Scenario: Answers of the table lost after writes took effect change nothing
    Given a fleet of 2 hosts and 4 workers in one data centre
    When the platform loses the next 25 answers to writes after they took effect
    And a job "lost" of 60 tasks of 4 cores running 0.5 s is applied and perhaps applied again
    Then the job "lost" finishes all 60 tasks
    And no task ran in two places at once
    And no task of "lost" finished twice

  Scenario: A rack frozen past its leases stops its tasks before they start elsewhere
    Given a fleet of two racks
    When a job "rack" of 24 tasks of 4 cores running 4 s is applied
    And 24 tasks of "rack" have started
    And the rack that runs them is frozen for 6 s
    Then the job "rack" finishes all 24 tasks
    And every task of "rack" lapsed once
    And no task ran in two places at once
    And no task of "rack" finished twice

  Scenario: The tasks of a rack that is lost for good run on another rack
    Given a fleet of two racks
    When a job "moved" of 24 tasks of 4 cores running 4 s is applied
    And 24 tasks of "moved" have started
    And the rack that runs them is lost
    Then the job "moved" finishes all 24 tasks
    And no task ran in two places at once

  Scenario: A restarted worker runs nothing that it had before
    Given a fleet of 2 hosts and 4 workers in one data centre
    When a job "restart" of 20 tasks of 4 cores running 2 s is applied
    And 20 tasks of "restart" have started
    And worker 1 restarts
    Then the job "restart" finishes all 20 tasks
    And no task ran in two places at once

  Scenario: Cancellation wins, also over starts under way
    Given a fleet of 2 hosts and 4 workers in one data centre
    When a job "wave" of 100 tasks of 4 cores running 30 s is applied
    And 5 tasks of "wave" have started
    And the job "wave" is cancelled twice
    Then every task of "wave" ends and none starts again
    And no task ran in two places at once

  Scenario: Urgent work evicts by checkpoint and the evicted work resumes once
    Given a fleet of 2 hosts and 4 workers in one data centre
    When a job "batch" of 16 tasks of 8 cores running 6 s is applied
    And 15 tasks of "batch" have started
    And an urgent job "urgent" of 3 tasks of 8 cores running 1 s is applied
    Then the job "urgent" finishes all 3 tasks
    And the job "batch" finishes all 16 tasks
    And no more than 2 tasks were evicted
    And no task ran in two places at once
    And the evicted tasks resumed from their checkpoints

  Scenario: Every host of a data centre is replaced while the table is down
    Given a fleet of 2 hosts and 4 workers in one data centre
    When a job "replace" of 40 tasks of 4 cores running 2 s is applied
    And 20 tasks of "replace" have started
    And the platform is down
    And every planner is killed and started anew
    And I wait 4 s
    And the platform is well again
    Then the job "replace" finishes all 40 tasks
    And no task ran in two places at once
    And no task of "replace" finished twice

  Scenario: A planner stopped gracefully hands its cells over and cuts no task off
    Given a fleet of 2 hosts and 4 workers in one data centre
    When a job "handover" of 20 tasks of 4 cores running 4 s is applied
    And 20 tasks of "handover" have started
    And the planner that owns the cell is stopped gracefully
    Then the job "handover" finishes all 20 tasks
    And no task ran in two places at once
    And no task lapsed or was restarted

  Scenario: A slow service has its worker's batch throttled, and freed when it is calm
    Given a fleet of 2 hosts and 4 workers in one data centre
    And the service cards is in force everywhere
    When a job "neighbour" of 16 tasks of 2 cores running 6 s is applied
    And 16 tasks of "neighbour" have started
    And the service on every worker is 1.3 times as slow
    Then tasks of "neighbour" are throttled and none is evicted
    When the service on every worker is 1.0 times as slow
    Then the job "neighbour" finishes all 16 tasks
    And no task ran in two places at once
