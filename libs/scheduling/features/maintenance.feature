Feature: Maintenance waves
  Machines are emptied, taken down and returned to use, a bounded number at a time.

  # Guards against more machines down than allowed, a protected task that is terminated,
  # and a wave reported as done too early: after lost calls and answers, crashes of
  # workers, and takeovers.
  Scenario: Waves with faults end and break no rule
    When 60 waves of 12 machines, 2 at a time, are simulated with faults
    Then no wave or machine is late

  # Guards against last machines that are late because of the first ones, or of machines
  # that can't be emptied.
  Scenario Outline: Every machine that can be emptied begins in time: <machines>
    When <n> waves of <machines> machines, <max> at a time, are simulated within <by> s, some that can't be emptied: <stuck>
    Then no wave or machine is late

    Examples:
      | n  | machines | max | by  | stuck |
      | 10 | 2        | 1   | 20  | no    |
      | 10 | 30       | 5   | 60  | no    |
      | 10 | 12       | 1   | 75  | no    |
      | 10 | 12       | 2   | 120 | yes   |

  # Machines: state, number of runs ("p": protected ones) and phase. The machines must begin
  # within 60 s; a slot is taken 10 s after the wave became known, and terminations are due
  # 5 s after that. "Take for" says for how long tasks may go on.
  Scenario Outline: <case>
    Given machines <machines> of a wave with at most 1 down
    When the owner of <owned> s plans <age> s after the slot was taken
    Then it plans: <actions>

    Examples:
      | case                                 | machines                    | owned | age | actions                             |
      | The emptiest machine comes first     | a:up:2 b:up:1 c:up:p0       | 9     | 0   | take b for 6.8 s                    |
      | A slot that is in use isn't taken    | a:up:2:emptying b:up:0      | 9     | 4   | nothing                             |
      | An empty machine is taken down       | a:up:0:emptying b:up:0      | 9     | 4   | request a                           |
      | Tasks are terminated late only       | a:up:1:emptying             | 9     | 5   | request a                           |
      | Protected tasks are not terminated   | a:up:p1:emptying            | 9     | 99  | nothing                             |
      | One that can't be emptied is put off | a:up:p1:emptying b:up:0     | 9     | 12  | free a (deferred), take b for 8.2 s |
      | No call within 3 s of a takeover     | a:up:0:requested            | 2.9   | 99  | nothing                             |
      | A call without answer is repeated    | a:up:0:requested            | 3     | 4   | request a                           |
      | Another owner took the machine over  | a:up:0:overtaken            | 9     | 4   | nothing                             |
      | A crash is no maintenance            | a:up:0:requested:new        | 9     | 4   | take a for 1.0 s                    |
      | A machine returns with a new worker  | a:up:0:confirmed:new b:up:1 | 9     | 4   | free a (done), take b for 22.5 s    |
      | The read may be older than the call  | a:up:0:confirmed:new b:up:1 | 9     | 2   | nothing                             |
      | A machine isn't up yet               | a:maintenance:0:confirmed b:up:1 | 9     | 4   | nothing                             |
      | It had been maintained before        | a:up:0:confirmed            | 9     | 9   | free a (done)                       |
      | A machine is gone                    | a:gone:0:requested b:up:1   | 9     | 4   | free a (gone), take b for 22.5 s    |
      | All are maintained or gone           | a:up:0:done b:gone:0        | 9     | 4   | report done                         |
      | One has yet to be maintained         | a:up:0:done b:down:0        | 9     | 4   | nothing                             |
      | The wave is new                      | a:up:0:unknown              | 9     | 0   | report running, take a for 29.5 s   |
      | The wave was removed                 | a:up:2:emptying:removed     | 9     | 4   | free a (withdrawn)                  |
      | Fewer may be down than hold slots    | a:up:0:emptying b:up:0:emptying | 9     | 4   | request a                           |
      | One is down, another one is empty    | a:maintenance:0:requested b:up:0:emptying | 9     | 4   | nothing                             |
      | Only one of two requests is repeated | a:up:0:requested b:up:0:requested | 9     | 4   | request a                           |
      | A read shows the maintenance         | a:up:0:requested:seen b:up:1 | 9     | 4   | free a (done), take b for 22.5 s    |
      | It may be that of another wave       | a:up:0:requested:shared b:up:1 | 9     | 4   | take a for 1.0 s                    |
      | Other waves may not be known yet     | a:up:0:requested:seen b:up:1 | 2     | 4   | nothing                             |
      | The list is too old for a call       | a:up:0:emptying:unread      | 9     | 4   | nothing                             |
      | An older request takes no slot       | a:up:0:done:outdated b:up:0 | 9     | 4   | nothing                             |
      | An older request frees none          | a:up:0:emptying:outdated b:up:0 | 9     | 4   | nothing                             |
      | An older request repeats calls       | a:up:0:requested:outdated b:up:0 | 9     | 4   | request a                           |
      | Half of the new time ends sooner     | a:up:1:emptying:rewritten   | 9     | 0   | report running, keep a for 2.5 s    |

  # Guards against a start on a machine that is emptied, and stops beyond max_unavailable.
  Scenario Outline: Long-running tasks leave <names>, <allowed> may be unavailable
    Given a cell with 2 workers of 8 cores
    And 6 long-running tasks run of which <allowed> may be unavailable
    When workers <names> are in maintenance for 6 seconds
    Then <n> runs are stopped
    And worker w0 is protected: <protected>

    Examples:
      | names     | allowed | n | protected |
      | w0        | 6       | 1 | yes       |
      | w0        | 0       | 0 | yes       |
      | w0        | no task | 0 | no        |
      | w0 and w1 | 6       | 3 | yes       |
      | w0 and w1 | 1       | 1 | yes       |
      | nowhere   | 6       | 0 | yes       |

  Scenario Outline: Nothing starts on workers in maintenance: <kind>
    Given a cell with 2 workers of 8 cores
    When workers w0 and w1 are in maintenance for 1 seconds
    And a client submits <kind>
    And 4.0 seconds pass without reads
    Then nothing has started
    And the wait is explained by "in maintenance"
    And no headroom is published for fillers
    When workers nowhere are in maintenance for 1 seconds
    Then it has started

    Examples:
      | kind             |
      | an ordinary task |
      | a gang           |
      | a forced filler  |

  # Guards against a start on a machine in maintenance that a new owner doesn't know of.
  Scenario: Nothing starts before the machines in maintenance are known
    Given a cell with 2 workers of 8 cores
    When the machines in maintenance are not known yet
    And a client submits an ordinary task
    And 4.0 seconds pass without reads
    Then nothing has started
    And the wait is explained by "maintenance not known"
    When the machines in maintenance are known
    And workers nowhere are in maintenance for 1 seconds
    Then it has started

  # Guards against a start that was decided before its worker was taken out of use, and
  # against one that is repeated afterwards.
  Scenario Outline: A start is sent only while its worker is in use: <names>
    Given a cell with 2 workers of 8 cores
    When a client submits an ordinary task
    And 0.4 seconds pass without reads
    And workers <names> are in maintenance for 0 seconds
    Then the start <may> be sent
    And <n> run is left and none is stopped
    When workers w0 and w1 are in maintenance for 0 seconds
    Then the start may not be sent
    And <n> run is left and none is stopped

    Examples:
      | names     | may     | n |
      | w0 and w1 | may not | 0 |
      | nowhere   | may     | 1 |

  # Guards against the termination of a protected run that the owner doesn't know yet.
  Scenario: A run of an unknown submission may be protected
    Given a cell with 2 workers of 8 cores
    When w0 reports a run of an unknown submission
    Then worker w0 is protected: yes

  # Guards against submissions given up because their workers were taken down.
  Scenario Outline: The end of a worker in maintenance is no crash: <names>
    Given a cell with 2 workers of 8 cores
    And 6 long-running tasks run of which no task may be unavailable
    When workers <names> are in maintenance for 1 seconds
    And worker w0 ends
    Then <n> tasks may have crashed a worker

    Examples:
      | names   | n |
      | w0      | 0 |
      | nowhere | 3 |
