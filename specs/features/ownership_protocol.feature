Feature: The core protocol, checked exhaustively by spin within stated bounds
  No task runs in two places at once and none runs after it was recorded as done.
  Each mechanism left out gives a counterexample.

  Scenario Outline: The protocol holds: <what>
    When the specification is searched with "<bounds>"
    Then the search is complete and finds no error

    Examples:
      | what                              | bounds                                                                      |
      | takeover, pauses, lapses          | MAX_RESTARTS=0                                                              |
      | takeover, pauses, restarts        | MAX_LAPSES=0                                                                |
      | takeover of a running task        | START_ASSIGNED MAX_RESTARTS=0                                               |
      | evict and resume, one owner       | MAX_EPOCH=1 MAX_SEQUENCE=4 WITH_EVICT MAX_RESTARTS=0 MAX_LAPSES=0           |
      | cancelled starts, one owner       | MAX_EPOCH=1 MAX_SEQUENCE=3 WITH_WITHDRAW MAX_RESTARTS=0                     |

  Scenario Outline: Without its <mechanism> the protocol breaks
    When the specification is searched with "<bounds>"
    Then the search finds a task in two places

    Examples:
      | mechanism       | bounds                                                                            |
      | epoch           | NO_EPOCH MAX_RESTARTS=0                                                           |
      | echoed time     | NO_ECHO MAX_RESTARTS=0                                                            |
      | incarnation     | NO_INCARNATION MAX_LAPSES=0                                                       |
      | read-back       | NO_READ_BACK MAX_RESTARTS=0                                                       |
      | attempt number  | NO_ATTEMPT MAX_EPOCH=1 MAX_SEQUENCE=4 WITH_EVICT MAX_RESTARTS=0 MAX_LAPSES=0      |
      | sequence number | NO_SEQUENCE MAX_EPOCH=1 MAX_SEQUENCE=3 WITH_WITHDRAW MAX_RESTARTS=0 MAX_LAPSES=0  |
      | renewal limit   | NO_RENEWAL_LIMIT START_ASSIGNED MAX_RESTARTS=0                                    |
