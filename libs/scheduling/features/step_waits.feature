Feature: What a waiting step waits for
  The hosts log it, so that the seconds of late submissions can be accounted for.

  # Guards against an account that can't tell capacity in pieces from too little of it.
  Scenario Outline: A task of 4 cores in a cell of 4 workers with <free> cores free each
    Given a cell of 4 workers with <free> cores free each and a task of 4 cores
    And another cell with <other> cores free on one worker
    Then the step waits for "<reason>"

    Examples:
      | free | other | reason             |
      | 0    | 0     | no-capacity        |
      | 3    | 0     | capacity-in-pieces |
      | 3    | 3     | capacity-in-pieces |
      | 3    | 4     | capacity-elsewhere |
      | 4    | 0     | turn               |
