Feature: Fillers beside tasks that serve
  The load pattern: serving tasks reserve nearly all processors and use half of them, and
  batch work lives on the rest; most pairs of images are harmless, some ruin the tail.

  Scenario: One disturbed reading names a single suspect, calm readings clear it
    Given a serving image "web" and a filler "press" that use a fifth of a worker each
    When the tail of "web" is at 6.0 of its target beside "press"
    Then "press" is heavy beside "web"
    And "press" is not heavy beside "mail"
    When the tail of "mail" is at 0.3 of its target beside "press" 4 times
    Then "press" is mild beside "mail"

  Scenario: A worker where everything is slow blames nobody
    Given a serving image "web" and a filler "press" that use a fifth of a worker each
    When the tails of "web" and "mail" are both at 40.0 of their targets beside "press"
    Then "press" is not heavy beside "web"

  Scenario: What other hosts have seen counts once
    Given a serving image "web" and a filler "press" that use a fifth of a worker each
    When another host tells 3 times that "press" is heavy beside "web"
    Then "press" is heavy beside "web"
    When that host takes it back
    Then "press" is not heavy beside "web"

  Scenario: A filler goes where it is mild, and serving images are kept together
    Given workers that serve "web", "mail" and nothing
    When "press" is known to be heavy beside "web" and mild beside "mail"
    Then a filler "press" goes to one of the workers "mail nothing"
    And a serving task "web" goes to the worker "web"

  Scenario: All fillers leave a worker that stays over its target
    Given a worker with a serving task and two fillers of unknown effect
    When its tail has been over the target for 0.1 seconds
    Then at most the likeliest filler is stopped
    When its tail has been over the target for 2.0 seconds
    Then both fillers are stopped

  Scenario: No filler comes back to a worker that stays over its target by its own load
    Given a cell whose only worker serves 6 times "web", beside which "press" is mild
    When its tail stays at 1.2 of its target for 10 seconds while 8 fillers wait
    Then at most 8 fillers were started and none runs

  Scenario: No filler is forced while most processors are reserved
    Given a cell whose only worker serves 7 times "web", beside which "press" is heavy
    When a submission of 4 fillers and one of 1 filler have starved
    Then none has run after 20 seconds

  Scenario Outline: A heavy filler runs beside serving tasks with little load
    Given a serving task with <load> load of its own beside a heavy filler of a tenth
    Then the filler works at <pace> percent or is stopped

    Examples:
      | load | pace |
      | 0.2  | 100  |
      | 0.5  | 80   |
      | 0.65 | 30   |
      | 0.72 | 0    |

  Scenario: The least disturbed task tells the load of its siblings
    Given two tasks of one submission on two workers, one disturbed
    Then both are taken to have the load of the calm one

  Scenario: Starving fillers take turns
    Given a cell whose only worker serves "web", beside which "press" is heavy
    When a submission of 40 fillers and one of 1 filler have starved
    Then both have run within 3 bursts
