Feature: Tasks that work only together
  The members of a gang share a run number; each run that lacks one ends for nothing.

  Scenario Outline: A gang is started whole or not at all
    Given a cell with 2 workers of 8 cores
    When a gang of <n> tasks of 4 cores is handed in
    Then <started> members are started under one run number

    Examples:
      | n | started |
      | 4 | 4       |
      | 5 | 0       |

  Scenario: A gang that lost a member starts again under a higher number
    Given a cell with 2 workers of 8 cores
    When a gang of 3 tasks of 4 cores is handed in
    And one member is rejected
    Then the others are stopped
    When they have ended
    Then 3 members are started under one run number
    And that number is higher than the first

  Scenario: One end stands for the whole gang
    Given a cell with 2 workers of 8 cores
    When a gang of 3 tasks of 4 cores is handed in
    And one member is reported as done
    Then the submission is done

  Scenario: A run in which two members fail counts once
    Given a cell with 2 workers of 8 cores
    When a gang of 3 tasks of 4 cores with 2 attempts is handed in
    And two members are reported as failed
    Then the submission is not failed

  Scenario: All members resume from one checkpoint
    Given a cell with 2 workers of 8 cores
    When a gang of 3 tasks of 4 cores is handed in
    And all members are stopped with different checkpoints
    Then 3 members are started from one checkpoint

  Scenario: A gang that finds no room moves whole
    Given a cell with 2 workers of 8 cores
    When a gang of 5 tasks of 4 cores is handed in
    And another cell has room for 40 cores
    Then all 5 members are to move there
