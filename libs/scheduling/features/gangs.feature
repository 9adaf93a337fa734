Feature: Gang scheduling
  The members of a gang share a run number; a run that lacks a member makes no progress.

  Scenario Outline: A gang is started as a whole or not at all
    Given a cell with 2 workers of 8 cores
    When a gang of <n> tasks of 4 cores is added
    Then <started> members are started under one run number

    Examples:
      | n | started |
      | 4 | 4       |
      | 5 | 0       |

  Scenario: A gang that lost a member starts again under a higher run number
    Given a cell with 2 workers of 8 cores
    When a gang of 3 tasks of 4 cores is added
    And one member is rejected
    Then the others are stopped
    When they have ended
    Then 3 members are started under one run number
    And that number is higher than the first

  Scenario: One done member completes the gang
    Given a cell with 2 workers of 8 cores
    When a gang of 3 tasks of 4 cores is added
    And one member is reported as done
    Then the submission is done

  Scenario: A run in which two members fail counts as one failed attempt
    Given a cell with 2 workers of 8 cores
    When a gang of 3 tasks of 4 cores with 2 attempts is added
    And two members are reported as failed
    Then the submission is not failed

  Scenario: All members resume from one checkpoint
    Given a cell with 2 workers of 8 cores
    When a gang of 3 tasks of 4 cores is added
    And all members are stopped with different checkpoints
    Then 3 members are started from one checkpoint

  Scenario: A gang that doesn't fit moves to another cell as a whole
    Given a cell with 2 workers of 8 cores
    When a gang of 5 tasks of 4 cores is added
    And another cell has 40 free cores
    Then a move of all 5 members to that cell is proposed

  # Guards against LOST: only 0.7 of another cell counted, so that a gang of more than that
  # never moved to an idle one.
  Scenario Outline: A gang that needs most of another cell of <cores>-core workers moves after <seconds> s: <moved>
    Given a cell with 2 workers of 8 cores
    When a gang of 5 tasks of 4 cores is added
    And another cell has 6 workers of 4 free cores in two racks, of <cores> cores each
    And the gang waits for <seconds> s
    Then <moved> members are proposed to move

    Examples:
      | seconds | cores | moved |
      | 1       | 4     | 0     |
      | 3       | 4     | 5     |
      | 3       | 16    | 0     |

  # Guards against gangs split over the racks of a cell, where each member takes longer.
  Scenario: A gang that needs one rack starts in one rack of its cell
    Given a cell with 4 workers of 8 cores in two racks
    When a gang of 4 tasks of 4 cores that needs one rack is added
    Then 4 members are started under one run number
    And all of them are started in one rack

  Scenario: A gang that needs one rack doesn't start where only both racks hold it
    Given a cell with 4 workers of 8 cores in two racks
    When a gang of 5 tasks of 4 cores that needs one rack is added
    Then 0 members are started under one run number

  # Guards against members that take longer on two racks because one of them was busy.
  Scenario: A gang that needs one rack waits for one that could hold it
    Given a cell with 4 workers of 8 cores in two racks
    When 3 tasks of 4 cores with their data in the first rack are added
    And 1 tasks of 4 cores with their data in the second rack are added
    And a gang of 4 tasks of 4 cores that needs one rack is added
    And the gang waits for 2 s
    Then 0 members are started under one run number

  # Guards against LOST: a gang wider than every rack never started.
  Scenario: A gang wider than every rack starts on several racks
    Given a cell with 4 workers of 8 cores in two racks
    When a gang of 5 tasks of 4 cores that needs one rack is added
    And another cell has 8 workers of 4 free cores in two racks, of 4 cores each
    And the gang waits for 1 s
    Then 5 members are started under one run number

  # Guards against a move by the sum of two racks, and members that then run on both.
  Scenario Outline: A gang that needs one rack moves to a cell where one rack holds it
    Given a cell with 4 workers of 8 cores in two racks
    When a gang of <n> tasks of 4 cores that needs one rack is added
    And another cell has <workers> free cores in two racks, of <cores> cores each
    And the gang waits for 1 s
    Then <moved> members are proposed to move
    And <started> members are started under one run number

    Examples:
      | n | workers              | cores | moved | started |
      | 5 | 10 workers of 4      | 4     | 5     | 0       |
      | 5 | 8 workers of 4       | 4     | 0     | 5       |
      | 6 | 16 workers of 0      | 4     | 0     | 0       |

  # Guards against tasks that run far from their data beside free workers near it.
  Scenario: Tasks start in the rack of their data first
    Given a cell with 4 workers of 8 cores in two racks
    When 5 tasks of 4 cores with their data in the second rack are added
    Then 4 of them are started in the second rack and 1 in the first
