Feature: Evidence on which a task starts again before the lease of its worker has expired
  A worker that its owner can't reach may run on until its lease ends.

  # Guards against TWICE: a worker that left the list and didn't answer was forgotten
  # together with a run whose submission wasn't known yet, and the task started elsewhere.
  Scenario: A worker that left the list stays known while the submission of a run isn't
    Given a cell with 2 workers of 8 cores
    When a worker reports a run of a task whose submission is unknown
    And that worker leaves the list, and its holds fail
    And the submission is added
    Then the task isn't started a second time
    When 5 seconds pass
    Then the task isn't started a second time
    When 2 seconds pass
    Then the task is started on the worker that answers

  # Guards against a leak: the worker above would be asked for its runs without end.
  Scenario: A worker with such a run is forgotten once every lease has expired
    Given a cell with 2 workers of 8 cores
    When a worker reports a run of a task whose submission is unknown
    And that worker leaves the list, and its holds fail
    And 5 seconds pass
    Then the worker that left is still known
    When 2 seconds pass
    Then the worker that left is forgotten

  # Guards against TWICE: an entry of the list, which another writer may have written,
  # counted as the restart of a worker whose runs went on.
  Scenario: A later start in the list alone ends no run
    Given a cell with 2 workers of 8 cores
    And a task that a worker has reported as running
    When an entry of that worker names a later start, and its holds fail
    Then the task isn't started a second time
    When 4 seconds pass
    Then the task isn't started a second time
    When 2 seconds pass
    Then the task is started on the other worker

  # Guards against TWICE and LOST: the runs of a worker that goes on are neither stopped
  # nor repeated because of such an entry.
  Scenario: A worker goes on running its tasks beside an entry with a later start
    Given a cell with 2 workers of 8 cores
    And a task that a worker has reported as running
    When an entry of that worker names a later start
    And 8 seconds pass
    Then the task isn't started a second time
    And no run is stopped

  # Guards against LOST: the runs of a worker that has restarted need no lease to expire.
  Scenario: A later start in the list that the worker confirms ends its runs at once
    Given a cell with 2 workers of 8 cores
    And a task that a worker has reported as running
    When that worker restarts, and its entry and its answer tell of it
    Then the task starts again

  # Guards against TWICE: the worker at the address of such an entry, which isn't the one
  # that runs the task, answered for it.
  Scenario: Another worker at the address of an entry with a later start ends no run
    Given a cell with 2 workers of 8 cores
    And a task that a worker has reported as running
    When an entry of that worker names a later start, and another one answers there
    Then the task isn't started a second time
    When 4 seconds pass
    Then the task isn't started a second time
    When 2 seconds pass
    Then the task is started on the other worker

  # Guards against TWICE: a start that was accepted, and was in no report yet, may have
  # reached the incarnation that the list names.
  Scenario: An accepted start may run in the incarnation that the list names
    Given a cell with 2 workers of 8 cores
    And a task that a worker has accepted right after its restart
    When an entry of that worker names a later start, and its holds fail
    And 6 seconds pass
    Then the task isn't started a second time
    When 1 seconds pass
    Then the task is started on the other worker
