Feature: Home cells, moves, loads and starts during an evacuation
  In memory. The decisions of a cell's scheduler have features of their own.

  # Guards against new work in a data centre that is to be emptied.
  Scenario Outline: A <kind> submission gets a home cell outside the evacuated data centres
    Given the cells "r1 r2" in "dc-1" and "r3" in "dc-2", "r1" the emptiest
    When "dc-1" is evacuated
    And a <kind> submission arrives
    Then its home cell is "r3"

    Examples:
      | kind                        |
      | batch                       |
      | filler                      |
      | serving                     |
      | batch with its data in "r1" |

  # Guards against tasks that move to a data centre that is to be emptied.
  Scenario: Moves are offered no cell of an evacuated data centre
    Given the cells "r1 r2" in "dc-1" and "r3" in "dc-2", "r1" the emptiest
    When "dc-1" is evacuated
    Then the mover of "r4" is offered the cells "r3"
    When nothing is evacuated
    Then the mover of "r4" is offered the cells "r1 r2 r3"

  # Guards against a submission that is accepted though nobody may start it.
  Scenario: A submission is refused at once while every suitable cell is evacuated
    Given the cells "r1 r2" in "dc-1" and "r3" in "dc-2", "r1" the emptiest
    When "dc-1 dc-2" is evacuated
    Then a client's submission is answered 503 with Retry-After and nothing is stored
    When "dc-2" is evacuated
    Then a client's submission is answered 200 and stored

  # Guards against a request for an unknown data centre that stops or refuses anything.
  Scenario: The evacuation of an unknown data centre has no effect
    Given the cells "r1 r2" in "dc-1" and "r3" in "dc-2", "r1" the emptiest
    When "dc-7" is evacuated
    Then a client's submission is answered 200 and stored
    And the mover of "r4" is offered the cells "r1 r2 r3"
    And after 15 s a warning names "dc-7"

  # Guards against a planning round, or a load, that doesn't know the newest requests.
  Scenario: A cell knows the requests before its first planning round and in its load
    Given a cell of "dc-1" with a worker of 8000 millicores
    When "dc-1" is evacuated just after the cell's owner has started it
    Then the cell's first planning round knows that it is evacuated
    And the cell's load shows 0 of 8000 millicores free
    When nothing is evacuated
    Then the cell's load shows less than 8000 millicores free at once

  # Guards against a start by an owner that hasn't read the requests yet.
  Scenario: A cell whose host has read nothing may start nothing
    Given a cell of "dc-1" with a worker of 8000 millicores
    When the cell's owner starts it before the host has read the requests
    Then the cell may start nothing

  # Guards against hosts that behave differently in deployments without evacuations.
  Scenario: Without evacuations a cell has no evacuation state
    Given a deployment without evacuations
    And a cell of "dc-1" with a worker of 8000 millicores
    When the cell's owner starts it before the host has read the requests
    Then the cell has no evacuation state
    And the cell's load shows 8000 of 8000 millicores free

  # Guards against a start that was decided before the request and is sent after it.
  Scenario: A start that may no longer be sent counts as not sent
    Given a start order that was decided before "dc-1" was evacuated
    When it is to be sent afterwards
    Then the worker has received nothing
    And the scheduler was told that the order was not sent
    And a planning round was asked for

  # Guards against an evacuation whose end nobody can tell, and against a line that
  # comes before the runs of an earlier owner are known.
  Scenario: The end of the last run in an evacuated cell is logged once
    Given a cell of "dc-1" that its host owns, with runs unaccounted for
    When "dc-1" is evacuated
    And the cell has 2 tasks running, then 0, then all is accounted for
    Then the metrics show the evacuated data centre and 2, then 0 running tasks
    And the line about the last run in the cell is logged once, at the end
    When nothing is evacuated
    Then the metrics show no evacuated data centre
