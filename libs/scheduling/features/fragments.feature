Feature: Wide quick steps beside workers that standing tasks have almost filled
  Free capacity that is spread in small pieces over many workers holds no large task.

  Scenario: A standing task goes where it takes no slot of the quick tasks
    Given workers with 9.0, 7.0 and 4.5 free cores where quick tasks need 4 cores
    When a standing task of 2.5 cores is placed
    Then it goes to the worker with 7.0 free cores

  Scenario Outline: Tasks of <cores> cores move to a cell with room for whole tasks
    Given a cell with 12 cores free in pieces of 3 and one with 8 cores free on one worker
    When a task of <cores> cores moves
    Then it goes to the cell with <pieces>

    Examples:
      | cores | pieces   |
      | 4     | one      |
      | 3     | pieces   |
