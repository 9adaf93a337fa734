Feature: Work for which there is capacity waits less than 3 s
  While less than half of a service is in use. A step that fits on no worker of its cell
  starts despite interference or moves, whatever its kind and whatever waits elsewhere.

  # Guards against LOST: fillers and ordinary tasks of a lost rack waited until the end for
  # room that cells with a backlog never report (valas-ne, days i003 and i005).
  Scenario Outline: A <kind> whose cell has <workers> <moves> to a cell with a backlog <switch> expected finish
    Given a cell <switch> expected finish with <workers>, in which a <kind> of 4 cores is stuck for <stuck> s
    When it proposes moves to a cell of 40 cores, all reserved, where 60 cores are waited for
    Then <n> tasks are moved there

    Examples:
      | kind          | switch  | workers                  | stuck | moves      | n |
      | filler        | without | no worker                | 2.0   | moves      | 1 |
      | filler        | with    | no worker                | 2.0   | moves      | 1 |
      | ordinary task | without | no worker                | 2.0   | moves      | 1 |
      | ordinary task | with    | no worker                | 2.0   | moves      | 1 |
      | gang          | without | no worker                | 2.0   | moves      | 1 |
      | gang          | with    | no worker                | 2.0   | moves      | 1 |
      | gang of fillers | without | no worker              | 2.0   | moves      | 1 |
      | filler        | without | a worker that is drained | 2.0   | moves      | 1 |
      | filler        | without | no worker                | 1.0   | can't move | 0 |
      | ordinary task | without | a full worker            | 2.0   | can't move | 0 |

  # Guards against LOST: a worker that recovers counted as one that a filler may be forced
  # onto later, so fillers stayed in a cell all of whose workers did (valas-ne, day j3).
  Scenario: A filler whose cell recovers moves to a cell with processor time left though others wait there
    Given a cell whose only worker runs 6 tasks "web", beside which "press" is heavy
    When its tail stays at 1.2 of its target for 8 seconds while 1 fillers wait, beside a cell with 24 cores left and 80 waited for
    Then a move there was proposed within 3 seconds of waiting

  # Guards against LOST: what waited in other cells counted as reserved, so nothing was
  # forced beside a backlog though little of the service was in use.
  Scenario: A starving filler is forced though 90 cores are waited for in another cell of 32
    Given a cell whose only worker runs 3 tasks "web", beside which "press" is heavy
    When a filler is starving beside a cell of 32 cores where 90 cores are waited for
    Then it has run within 2.5 seconds

  # Guards against LOST: the time until a filler is forced began anew in each cell.
  Scenario: A filler that has waited in another cell is forced when it arrives
    Given a cell whose only worker runs a task "web", beside which "press" is heavy
    When a filler arrives that had no run for 2.0 s in another cell
    Then it has run within 0.5 seconds

  Scenario: A filler that has not waited before isn't forced when it arrives
    Given a cell whose only worker runs a task "web", beside which "press" is heavy
    When a filler arrives that had no run for 0.0 s in another cell
    Then it has not run within 1.0 seconds

  # Guards against LOST: all workers took forced fillers at the same time and none for the
  # next 3.5 s, longer than a filler that starves then may wait.
  Scenario: Workers begin with forced fillers in turn
    Given 6 workers that may take forced fillers
    When the first 2 begin with forced fillers
    Then only the first 2 take forced fillers 0.3 s later
    And none of them takes forced fillers 1.0 s later
    And only the other 4 take forced fillers 1.5 s later

  # Guards against LOST: six tasks of one submission were forced before the first of another.
  Scenario: Each starving submission gets a forced task before one gets several
    Given a cell whose only worker runs a task "web", beside which "press" is heavy
    When submissions of 40 fillers and 5 of 1 filler are starving
    Then all 6 have run within 2.5 seconds

  # Guards against LOST: fillers of some submissions used all processors, which nobody
  # reserves, and those of others waited until they ended (valas-ne, day m12).
  Scenario: A starving filler runs though other fillers use all processors
    Given a cell whose only worker runs 1 tasks "web", beside which "press" is mild
    And 7 fillers that don't end use the processors that it leaves
    When submissions of 1 fillers and 1 of 1 filler are starving
    Then all 2 have run within 3.0 seconds

  # Guards against LOST: such fillers stayed in a cell whose workers recover, since no other
  # cell reported processor time.
  Scenario: A filler whose cell recovers moves to a cell whose processors are used up
    Given a cell whose only worker runs 6 tasks "web", beside which "press" is heavy
    When its tail stays at 1.2 of its target for 8 seconds while 1 fillers wait, beside a cell with 0 cores left and 80 waited for
    Then a move there was proposed within 3 seconds of waiting

  # Guards against LOST: a filler that began to starve just after others were forced waited
  # until their worker had recovered.
  Scenario: A filler that starves just after others were forced runs within 3 s
    Given a cell whose only worker runs a task "web", beside which "press" is heavy
    When a filler waits, and another submission's begins to wait 0.7 s after it
    Then all 2 have run within 3.0 seconds

  # Guards against LOST: a filler that didn't starve yet when others were forced beside tasks
  # over their targets waited until that worker took fillers again, over 4 s later.
  Scenario Outline: A filler that waits <later> s less than one forced beside a task over its target runs with it
    Given a cell whose only worker runs 1 tasks that stay at 1.2 of their target, and a filler "press" waits
    When another submission's filler begins to wait <later> s after it
    Then all 2 have run within 3.0 seconds

    Examples:
      | later |
      | 0.3   |
      | 1.0   |
      | 1.8   |

  # Guards against fillers that are forced beside tasks over their targets although another
  # worker may soon take them.
  Scenario: A filler that may be forced onto another worker joins none beside a task over its target
    Given a cell whose only worker runs 1 tasks that stay at 1.2 of their target, and a filler "press" waits
    And a second worker on which a suspect of a crash has just started
    When another submission's filler begins to wait 1.0 s after it
    Then only the first has run within 1.6 seconds

  # Guards against LOST: a filler moved, and waited again there, because a suspect of a crash
  # had started 0.3 s ago on the only worker that it could be forced onto.
  Scenario: A starving filler waits for the trial of a suspect on its worker rather than move
    Given a cell whose only worker runs a task "web", beside which "press" is heavy
    When a filler waits beside a cell with room, and a suspect of a crash starts here 1.4 s later
    Then no move was proposed for it
    And it has run within 2.5 seconds

  # Guards against LOST: the time until an avoided worker is released began anew in each cell.
  Scenario: A task that has waited in another cell starts on an avoided worker
    Given a cell whose only worker runs a task "web", beside which "press" is heavy
    When its worker is avoided, and a task arrives that had no run for 2.0 s in another cell
    Then it has run within 1.0 seconds

  # Guards against LOST: a start that the worker rejects counted as a run, so a submission
  # whose starts are all rejected never counted as starving.
  Scenario: A start that is rejected ends no wait
    Given a cell whose only worker runs a task "web", beside which "press" is heavy
    When the worker rejects each start of an ordinary task for 3 seconds
    Then its submission has had no run for over 2.5 seconds

  # Guards against LOST: an ordinary task stayed for 5 s for runs that ended on workers where
  # it doesn't fit.
  Scenario Outline: A task <stays> if a run that ends here leaves it <room>
    Given a cell whose worker runs short tasks that end, with <memory> MB that none uses
    When a task of 4 cores and 3000 MB is stuck beside an idle cell
    Then <n> of its tasks are moved while the runs end

    Examples:
      | stays | room   | memory | n |
      | moves | no room | 2000  | 1 |
      | stays | room   | 4000   | 0 |

  # Guards against LOST: fillers of queues with an advice policy were never forced.
  Scenario: A starving filler of an advised queue is forced onto a worker with a ticket
    Given a cell whose only worker runs a task "web", beside which "press" is heavy
    When a filler of an advised queue is starving, and the advice names the worker
    Then it has run within 2.5 seconds

  # Guards against waiting lines that don't tell which rule keeps a step in its cell.
  Scenario Outline: The waiting line tells why a filler <stays>
    Given a cell whose only worker runs <n> tasks "web", beside which "press" is heavy
    When a filler has waited for <waited> s beside a full cell
    Then the line says that it stays because it is "<reason>"

    Examples:
      | n | waited | stays                         | reason                       |
      | 7 | 0.5    | has not waited for long       | not stuck for long           |
      | 7 | 2.5    | waits while much is reserved  | much of the service reserved |

  # Guards against waiting lines that tell a start of a cell that has no worker for it.
  Scenario Outline: The waiting line promises no start in a cell without workers, <waited> s
    Given a cell without workers in which a filler "press" waits
    When it has waited for <waited> s beside a full cell
    Then the line says that it stays because it is "<reason>"

    Examples:
      | waited | reason                |
      | 0.5    | not stuck for long    |
      | 1.4    | no headroom elsewhere |
      | 2.5    | no headroom elsewhere |
