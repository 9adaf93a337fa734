Feature: Order of waiting tasks in a full cell
  The load pattern: long-running tasks reserve nearly all processors; a worker drains,
  and its long-running tasks compete for the rest with a stream of urgent tasks.

  Scenario: A long-running task that lost its worker starts before urgent tasks
    Given a cell with 1 workers of 8 cores
    When a long-running task was accepted 60 s ago and urgent tasks are added now
    Then the long-running task is started and one urgent task beside it

  Scenario: Tasks that can no longer meet their deadline start after those that can
    Given a cell with 1 workers of 8 cores
    When an urgent task was accepted 60 s ago and urgent tasks are added now
    Then only tasks added now are started

  Scenario: Waiting tasks that fit on no worker of their cell are counted as stuck
    Given a cell with 2 workers of 8 cores
    When two tasks of 6 cores run and one of 4 cores has waited for a second
    Then 4 cores are waiting, all of them stuck
