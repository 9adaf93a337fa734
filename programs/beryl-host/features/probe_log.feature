Feature: Log of why holds and probes of workers fail

  # Guards against a log that doesn't tell why a worker's runs are taken for gone, and
  # against one that grows with each probe.
  Scenario: A line for each change of the kind of failure
    Given an owner of a cell with 1 worker, which has reported
    Then 3 holds that fail as "connect-timed-out" log 1 line with "listed, not draining, 0 runs"
    And 2 holds that fail as "connect-refused" log 1 line with "hold failed: connect-refused"
    And 2 holds that fail as "unhealthy" log 1 line with "hold failed: unhealthy"
    And 2 holds that fail as "not-connected" log 0 lines
    When the workers report
    Then 2 holds that fail as "unhealthy" log 1 line with "hold failed: unhealthy"

  # Guards against an owner whose decision on a drained worker can't be explained.
  Scenario: The line tells whether the worker is listed and drains, and of its leases
    Given an owner of a cell with 1 worker, which has reported
    When the workers drain and are no longer listed, with leases for 8 s
    Then 1 hold that fails as "timed-out" logs 1 line with "timed-out, not listed, draining, 0 runs, last report 1.00 s ago, leases end in 7.32 s"

  # Guards against a burst of lines that holds up the host: all workers fail at once.
  Scenario: Lines of all workers are bounded, and the rest follow
    Given an owner of a cell with 50 workers, which have reported
    Then 1 hold that fails as "timed-out" logs 20 lines
    And 1 hold that fails as "timed-out" logs 20 lines a second later
    And 1 hold that fails as "timed-out" logs 10 lines a second later
    And 1 hold that fails as "timed-out" logs 0 lines a second later

  # Guards against memory that grows with the workers that a cell has had.
  Scenario: Workers that are forgotten aren't remembered
    Given an owner of a cell with 5 workers, which have reported
    When 1 hold of each fails, 4 workers are forgotten, and the other fails anew
    Then the log remembers 1 worker
