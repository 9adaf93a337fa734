Feature: The ownership protocol, model-checked exhaustively by spin within given bounds
  No task runs in two places at once, and none runs after it was recorded as done.
  Without any one of its mechanisms the protocol has a counterexample.

  Scenario Outline: The protocol keeps its invariants: <case>
    When the specification is model-checked with "<bounds>"
    Then the search is complete and finds no error

    Examples:
      | case                                 | bounds                                                                      |
      | takeover, paused planners, lapses    | MAX_RESTARTS=0                                                              |
      | takeover, paused planners, restarts  | MAX_LAPSES=0                                                                |
      | takeover of a running task           | START_ASSIGNED MAX_RESTARTS=0                                               |
      | evict and resume, one owner          | MAX_EPOCH=1 MAX_SEQUENCE=4 WITH_EVICT MAX_RESTARTS=0 MAX_LAPSES=0           |
      | cancelled starts, one owner          | MAX_EPOCH=1 MAX_SEQUENCE=3 WITH_WITHDRAW MAX_RESTARTS=0                     |

  Scenario Outline: Without the <mechanism> the protocol violates an invariant
    When the specification is model-checked with "<bounds>"
    Then the search finds an invariant violation

    Examples:
      | mechanism       | bounds                                                                            |
      | epoch           | NO_EPOCH MAX_RESTARTS=0                                                           |
      | echoed time     | NO_ECHO MAX_RESTARTS=0                                                            |
      | incarnation     | NO_INCARNATION MAX_LAPSES=0                                                       |
      | read-back       | NO_READ_BACK MAX_RESTARTS=0                                                       |
      | attempt number  | NO_ATTEMPT MAX_EPOCH=1 MAX_SEQUENCE=4 WITH_EVICT MAX_RESTARTS=0 MAX_LAPSES=0      |
      | sequence number | NO_SEQUENCE MAX_EPOCH=1 MAX_SEQUENCE=3 WITH_WITHDRAW MAX_RESTARTS=0 MAX_LAPSES=0  |
      | renewal limit   | NO_RENEWAL_LIMIT START_ASSIGNED MAX_RESTARTS=0                                    |
