Feature: Evacuation of a data centre
  From the operator's request until its withdrawal, nothing starts in the data centre
  later than 5 s after the request, or 11 s if the owner can't read the requests.

  Background:
    Given a cell with 2 workers of 8 cores
    And evacuations with a deadline of 5 s and an outage allowance of 6 s

  Scenario Outline: Nothing starts in an evacuated cell: <kind>
    When the requests are read: evacuated
    And a client submits <kind>
    And 3 seconds pass with reads: evacuated
    Then nothing has started
    And the wait is explained by "data centre dc is evacuated"
    When 3 seconds pass with reads: not evacuated
    Then it has started
    And it was forced: <is_forced>

    Examples:
      | kind             | is_forced |
      | an ordinary task | no        |
      | a gang           | no        |
      | a filler         | no        |
      | a forced filler  | yes       |

  Scenario: A deployment without evacuations needs no reads
    Given evacuations with a deadline of 0 s and an outage allowance of 6 s
    When a client submits an ordinary task
    And a planning round is run
    Then it has started
    And the capacity share is 1.00

  # Guards against a start by a new owner that doesn't know of the evacuation yet.
  Scenario: Takeover during an evacuation
    When a client submits an ordinary task
    And a planning round is run
    Then nothing has started
    And the wait is explained by "evacuation requests not read yet"
    And the capacity share is 0.00
    When the requests are read: evacuated
    And a planning round is run
    Then nothing has started

  # Guards against an owner that goes on with a relayed read older than its own.
  Scenario: Withdrawal during a takeover
    When the requests are read: not evacuated
    And a read sent 0.5 s ago arrives: evacuated
    And a client submits an ordinary task
    And a planning round is run
    Then it has started

  # Guards against starts by an owner that neither the store nor another host can tell.
  Scenario: An owner that can't read starts tasks until the allowance is used up
    When the requests are read: not evacuated
    And 9.8 seconds pass without reads
    And a client submits an ordinary task
    And a planning round is run
    Then it has started
    When 0.4 seconds pass without reads
    And a client submits another ordinary task
    And a planning round is run
    Then only the first has started
    And the wait is explained by "evacuation requests not read for too long"

  # Guards against a start 8 s after the request by an owner that was suspended meanwhile:
  # the allowance is for owners that can't read.
  Scenario: Owner paused
    When the requests are read: not evacuated
    And a planning round is run
    And the owner is suspended for 4 s
    And a client submits an ordinary task
    And a planning round is run
    Then nothing has started
    And the wait is explained by "evacuation requests not read since a pause"
    When a read sent 1.0 s ago arrives: not evacuated
    And a planning round is run
    Then nothing has started
    When the requests are read: not evacuated
    And a planning round is run
    Then it has started

  # Guards against a start that was decided before a pause and is sent right after it.
  Scenario: Owner paused between the decision and the sending of a start
    When the requests are read: not evacuated
    And a client submits an ordinary task
    And a planning round is run
    And the owner is suspended for 4 s
    Then the start may not be sent
    And no run is left
    When the requests are read: not evacuated
    And 1 seconds pass with reads: not evacuated
    Then it has started again under a higher run number

  # Guards against a start that was decided before the request and is sent after it, and
  # against the loss of its task.
  Scenario: Evacuation between the decision and the sending of a start
    When the requests are read: not evacuated
    And a client submits an ordinary task
    And a planning round is run
    And the requests are read: evacuated
    Then the start may not be sent
    And no run is left
    And a move of 1 tasks to the other cell is proposed at once

  # Guards against TWICE: a restarted worker has forgotten the epoch of a new owner, which
  # may have started the task elsewhere, and accepts a late order of an earlier one.
  Scenario Outline: <event> between the decision and the sending of a start
    When the requests are read: not evacuated
    And a client submits an ordinary task
    And a planning round is run
    And <event>
    Then the start may not be sent
    And no run is left

    Examples:
      | event                                       |
      | the submission is cancelled                 |
      | the worker restarts and reports             |
      | the hold on the worker fails                |
      | another worker has seen a higher epoch      |

  # Guards against a crash counted for a run that never started: the next owner counts
  # each recorded one.
  Scenario: A suspect of a crash that may not start isn't recorded as crashed
    When the requests are read: not evacuated
    And a suspect of a crash waits
    And a planning round is run
    Then 2 crashes of it are recorded
    When the requests are read: evacuated
    And a planning round is run
    Then 1 crashes of it are recorded

  # Guards against a member that waits for ever for one whose start was withheld.
  Scenario: Evacuation between the decision and the sending of a gang's starts
    When the requests are read: not evacuated
    And a client submits a gang
    And a planning round is run
    And the requests are read: evacuated
    Then no start may be sent
    And no run is left
    And a move of 2 tasks to the other cell is proposed at once

  # Guards against TWICE: the first try of a repeated start may have arrived.
  Scenario: Evacuation before a start is repeated
    When the requests are read: not evacuated
    And a client submits an ordinary task
    And a planning round is run
    Then the start may be sent
    When the requests are read: evacuated
    Then the start may not be sent
    And its run is unconfirmed
    And no move is proposed

  # Guards against a stop of a task that may continue, and against a second run of it.
  Scenario: Evacuation acknowledged while a start is on its way
    When the requests are read: not evacuated
    And a client submits an ordinary task
    And a planning round is run
    Then the start may be sent
    When the requests are read: evacuated
    And the worker accepts the start
    And 2 seconds pass with reads: evacuated
    Then 1 run is left and none is stopped
    And no move is proposed

  # Guards against a start for an owner that doesn't know of the evacuation yet.
  Scenario: A task moved into an evacuated cell by another cell
    When the requests are read: evacuated
    And a task is moved here by another cell
    And a planning round is run
    Then nothing has started
    And a move of 1 tasks to the other cell is proposed at once

  Scenario Outline: Waiting tasks move at once: <kind>
    When the requests are read: <state>
    And serving tasks run and <kind> fits nowhere
    And a planning round is run
    Then a move of <n> tasks to the other cell is proposed at once

    Examples:
      | kind             | state         | n |
      | an ordinary task | evacuated     | 1 |
      | a gang           | evacuated     | 2 |
      | a forced filler  | evacuated     | 1 |
      | an ordinary task | not evacuated | 0 |
      | a gang           | not evacuated | 0 |
      | a forced filler  | not evacuated | 0 |

  # Guards against the message that a data centre is empty while tasks still run there.
  Scenario: Runs of submissions that the owner doesn't know yet count
    When a worker reports a run of a task whose submission is unknown
    Then 1 run is left and none is stopped

  # Guards against a herd: an empty data centre would attract all new work at once.
  Scenario: The published capacity returns gradually after the withdrawal
    When the requests are read: not evacuated
    Then the capacity share is 1.00
    When the requests are read: evacuated
    Then the capacity share is 0.00
    When the requests are read: not evacuated
    Then the capacity share is 0.00
    When 2 seconds pass with reads: not evacuated
    Then the capacity share is 0.40
    When 4 seconds pass with reads: not evacuated
    Then the capacity share is 1.00
