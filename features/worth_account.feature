Feature: Account of what late submissions waited for
  tools/worth_account.py --waits reads the hosts' log messages.

  # Guards against time of the critical path that no cause is given for, or that is
  # counted twice.
  Scenario: A late submission's seconds add up to the time until its end is recorded
    Given the messages of a submission accepted at 10.0 s, due at 12.0 s
      | at   | message                                                                                     |
      | 10.3 | step waits: ab.0.0 in cell c1: no-capacity, 2 tasks of 4000, 100 free, 100 on one worker, 0 other cells with capacity |
      | 11.0 | step waits: ab.0.0 in cell c1: capacity-in-pieces, 2 tasks of 4000, 5000 free, 3000 on one worker, 0 other cells with capacity |
      | 11.5 | run started: task ab.0.0.0 run 1 on w1, 0 of 32000 left, 0.5 s before due                   |
      | 11.6 | run started: task ab.0.0.1 run 1 on w2, 0 of 32000 left, 0.4 s before due                   |
      | 12.0 | run ended: task ab.0.0.0 run 1 on w1: done                                                  |
      | 12.5 | run ended: task ab.0.0.1 run 1 on w2: failed                                                |
      | 12.7 | run started: task ab.0.0.1 run 2 on w3, 0 of 32000 left, -0.7 s before due                  |
      | 13.0 | filler paced: task ab.0.0.1 image i on w3 to 50 percent                                     |
      | 14.0 | run ended: task ab.0.0.1 run 2 on w3: done                                                  |
      | 14.2 | submission ab: recorded as done                                                             |
    Then it is late
    And its seconds by cause are
      | cause              | seconds |
      | admission          | 0.2     |
      | first-start        | 0.3     |
      | no-capacity        | 0.7     |
      | capacity-in-pieces | 0.6     |
      | run-again-failed   | 1.1     |
      | pace               | 0.5     |
      | processor-time     | 0.8     |
      | recording          | 0.2     |

  # Guards against waits in a cell that the task has left, and against a cell without an
  # owner that logs nothing.
  Scenario: A task that moves waits for what its new cell lacks
    Given the messages of a submission accepted at 10.0 s, due at 12.0 s
      | at   | message                                                                                     |
      | 12.0 | step waits: ab.0.0 in cell c1: capacity-elsewhere, 1 tasks of 4000, 0 free, 0 on one worker, 2 other cells with capacity |
      | 12.2 | move proposed: task ab.0.0.0 to c2 above run 0                                              |
      | 12.4 | step waits: ab.0.0 in cell c2: no-capacity, 1 tasks of 4000, 0 free, 0 on one worker, 0 other cells with capacity |
      | 13.4 | run started: task ab.0.0.0 run 1 on w1, 0 of 32000 left, -1.4 s before due                  |
      | 18.0 | run ended: task ab.0.0.0 run 1 on w1: done                                                  |
      | 18.0 | submission ab: recorded as done                                                             |
    Then it is over the limit
    And its seconds by cause are
      | cause              | seconds |
      | admission          | 0.2     |
      | first-start        | 0.7     |
      | owner              | 1.5     |
      | capacity-elsewhere | 0.2     |
      | no-capacity        | 1.0     |
      | processor-time     | 4.6     |
