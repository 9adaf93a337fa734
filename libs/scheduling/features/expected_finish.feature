Feature: Order of waiting tasks by their expected finish
  Each scenario is a load pattern. The same seeded load is offered with the order by
  deadline and with the order by expected finish, and what callers get is compared.

  Scenario Outline: Fillers offered <factor> times what can be done for 6 s
    Given fillers offered <factor> times what 3 cells of 4 workers can do for 6 s, of 4 seeds
    Then by expected finish <more> in time, and what counts is worth as much
    And the largest submissions are served at least half as often as their queue
    And every submission ends

    Examples:
      | factor | more                     |
      | 1.3    | at least as many are     |
      | 2.5    | more submissions are     |

  # Guards against short submissions that wait behind long ones that have begun.
  Scenario: A queue of long submissions before short ones
    Given a queue of long submissions before short ones in 2 cells, of 4 seeds
    Then by expected finish at least as many are in time, and what counts is worth as much
    And the largest submissions are served at least half as often as their queue
    And every submission ends

  # Guards against a late task of a high priority behind tasks of a lower one in time.
  Scenario: Priorities are strict for late submissions
    Given a full cell ordered by expected finish
    When a late submission of priority 1 and one of priority 2 that is in time wait
    Then tasks of priority 1 start first

  # Guards against long-running tasks that are held back as late.
  Scenario: A long-running task that lost its worker starts before urgent tasks
    Given a full cell ordered by expected finish
    When a long-running task due 60 s ago loses its worker and an urgent task comes
    Then the long-running task starts first

  # Guards against expectations that a new owner can't know, or that never adapt.
  Scenario: A new owner starts with the estimates and relearns what steps take
    Given a cell whose steps take twice their estimate
    When its owner is lost and another one takes over
    Then the new owner expects the estimates at first and twice as much within 8 s

  # Guards against an overload that is remembered for ever.
  Scenario: What was learnt fades while nothing ends
    Given a cell whose steps take twice their estimate
    When nothing ends for 30 s
    Then its steps are expected to take their estimates within a tenth

  # Guards against submissions that change places at every plan.
  Scenario: A submission that was demoted doesn't return within 2 s
    Given a submission that was demoted since too much work was before it
    When the work before it is withdrawn
    Then it counts as late for 2 s from its demotion and in time afterwards

  # Guards against steps as wide as their cell: each submission waits there for all of the
  # one before it, and moves rely on loads that are seconds old.
  Scenario Outline: Steps as wide as a rack are in time more often in cells of two racks, offered <load> of what can be done
    Given steps as wide as a rack, offered <load> of what 10 racks of 4 workers can do for 15 s, of 2 seeds
    Then in cells of two racks at least a tenth more submissions are in time than in cells of one
    And what counts is worth more

    Examples:
      | load |
      | 0.8  |
      | 1.5  |
