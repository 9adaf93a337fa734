Feature: Who waits when the cell is full
  The load pattern: tasks that last reserve nearly all processors; a worker leaves, and its
  tasks that last compete for the rest with a stream of urgent work.

  Scenario: A task that lasts and lost its worker goes before urgent work
    Given a cell with 1 workers of 8 cores
    When a task that lasts was accepted 60 s ago and urgent tasks arrive now
    Then the task that lasts is started and one urgent task beside it

  Scenario: Work that can't be in time any more goes after work that can
    Given a cell with 1 workers of 8 cores
    When an urgent task was accepted 60 s ago and urgent tasks arrive now
    Then only tasks that arrived now are started

  Scenario: Work that fits nowhere doesn't hide a cell's room from others
    Given a cell with 2 workers of 8 cores
    When two tasks of 6 cores run and one of 4 cores has waited for a second
    Then 4 cores are waiting, all of them stuck
