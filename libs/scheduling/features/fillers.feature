Feature: Fillers co-located with serving tasks
  The load pattern: serving tasks reserve nearly all processors and use half of them,
  and fillers use the rest; most pairs of images are mild, a few raise the tail latency
  far over its target.

  Scenario: One disturbed reading marks the sole filler heavy, normal readings mild
    Given a serving image "web" and a filler "press" that use a fifth of a worker each
    When the tail of "web" is at 6.0 of its target beside "press"
    Then "press" is heavy beside "web"
    And "press" is not heavy beside "mail"
    When the tail of "mail" is at 0.3 of its target beside "press" 4 times
    Then "press" is mild beside "mail"

  Scenario: Readings of a slow worker are not attributed to a filler
    Given a serving image "web" and a filler "press" that use a fifth of a worker each
    When the tails of "web" and "mail" are both at 40.0 of their targets beside "press"
    Then "press" is not heavy beside "web"

  Scenario: Repeated log odds of another host count once
    Given a serving image "web" and a filler "press" that use a fifth of a worker each
    When another host reports 3 times that "press" is heavy beside "web"
    Then "press" is heavy beside "web"
    When that host reports no pairs
    Then "press" is not heavy beside "web"

  Scenario Outline: Readings of <n> other hosts, which err alike, don't hide a heavy pair
    Given a serving image "web" and a filler "press" that use a fifth of a worker each
    When <n> other hosts report that "press" is mild beside "web"
    Then "press" is mild beside "web"
    When the tail of "web" is at 4.0 of its target beside "press" 6 times
    Then "press" is heavy beside "web"

    Examples:
      | n   |
      | 1   |
      | 96  |
      | 800 |

  Scenario: A filler starts where it is mild, and a serving image stays on one worker
    Given workers that serve "web", "mail" and nothing
    When "press" is known to be heavy beside "web" and mild beside "mail"
    Then a filler "press" goes to one of the workers "mail nothing"
    And a serving task "web" goes to the worker "web"

  Scenario: All fillers on a worker that stays over its target are stopped
    Given a worker with a serving task and two fillers of unknown effect
    When its tail has been over the target for 0.1 seconds
    Then at most one filler is stopped
    When its tail has been over the target for 2.0 seconds
    Then both fillers are stopped

  # Guards against HARM: each reading that was by chance below the target restarted the time
  # after which all fillers stop, although the tail stayed above it.
  Scenario: Fillers are stopped beside a tail that some rough readings show below its target
    Given a worker with a serving task and two fillers of unknown effect
    When its readings alternate between 1.04 and 0.97 of the target for 3 seconds
    Then both fillers are stopped

  Scenario: No filler restarts on a worker whose own load keeps it over its target
    Given a cell whose only worker runs 6 tasks "web", beside which "press" is mild
    When its tail stays at 1.2 of its target for 10 seconds while 8 fillers wait
    Then at most 8 fillers were started and none is running

  Scenario: No filler is forced while most processors are reserved
    Given a cell whose only worker runs 7 tasks "web", beside which "press" is heavy
    When submissions of 4 fillers and of 1 filler are starving
    Then none has run after 20 seconds

  Scenario Outline: A heavy filler is paced by the own load of the serving task
    Given a serving task with <load> own load and a heavy filler on a tenth of a worker
    Then the pace of the filler is <pace> percent, where 0 is a stop

    Examples:
      | load | pace |
      | 0.2  | 100  |
      | 0.5  | 80   |
      | 0.65 | 30   |
      | 0.72 | 0    |

  Scenario: The own load of sibling tasks is estimated from the least disturbed one
    Given two tasks of one submission on two workers, one disturbed
    Then the own load of both is that of the undisturbed one

  Scenario: Starving fillers are forced in turn
    Given a cell whose only worker runs a task "web", beside which "press" is heavy
    When submissions of 40 fillers and of 1 filler are starving
    Then both have run within 3 forced periods

  # Guards against LOST: each planning round took back the record without which the filler
  # may not start, so it never ran although most processors were free.
  Scenario Outline: A starving filler <that> is forced like any other
    Given a cell whose only worker runs a task "web", beside which "press" is heavy
    And its owner took the cell over, after it <lost> a worker
    When a filler <that> is starving
    Then it has run within 1 forced period

    Examples:
      | lost        | that                                   |
      | hasn't lost | whose earlier run may have crashed a worker |
      | has lost    | of the earlier owner                   |

  # Guards against LOST: other fillers took the processor time between the record and the
  # start, as fillers have no reserve.
  Scenario: A filler whose run must be recorded first keeps its processor time until then
    Given a cell whose only worker runs 8 tasks "web", beside which "press" is mild
    When a filler whose earlier run may have crashed a worker is starving beside 6 later ones
    Then it has run within 1 forced period

  # Guards against LOST: fillers moved to cells for the time left on workers that can't
  # start them, and on again, before they were starving.
  Scenario Outline: A worker that is <state> is no headroom for fillers
    Given a cell whose only worker runs 1 tasks "web", beside which "press" is mild
    When the worker is <state>
    Then no other cell sends fillers to it

    Examples:
      | state      |
      | not listed |
      | draining   |
      | silent     |
      | recovering |

  # Guards against LOST: a filler moves after 1 s and is forced after 1.5 s, so one that fits
  # in no cell moved between cells for ever.
  Scenario: A filler that has moved twice is forced
    Given a cell whose only worker runs a task "web", beside which "press" is heavy
    When a filler that has moved twice is starving, and another cell seems to have room
    Then it has run within 1 forced period
