Feature: A task on a draining worker runs once although the worker can't be reached
  A worker that drains may go on for seconds. While it is cut off from its owner and from
  the store its entry goes and no probe can be sent, as after its exit, but its runs go
  on until its lease ends.

  Background:
    Given a cell with 2 workers of 8 cores
    And a running task on a draining worker

  # Guards against TWICE: a draining worker counted as exited once its entry had gone and
  # a probe wasn't sent. Guards against LOST: a task that waits for longer than the lease.
  Scenario Outline: A task waits for the lease of its draining worker, whose entry goes <when>
    When the draining worker falls silent and its entry goes <when>
    Then the task isn't started before the leases of the worker have ended
    And the task is started on the other worker within 1 s

    Examples:
      | when      |
      | after 0 s |
      | after 3 s |
      | after 4 s |

  # Guards against TWICE: the run was taken for lost, and stopped when it was reported.
  Scenario: A run goes on when its draining worker answers again before its lease ends
    When the draining worker falls silent and its entry goes after 3 s
    And it answers again after 1 s
    Then the run goes on and its task isn't started again

  # Guards against TWICE: the next owner counted a worker recorded as draining as exited
  # at the first probe that wasn't sent, before the earlier owner's leases had ended.
  Scenario Outline: The next owner waits for a draining worker that only the earlier one reaches
    When the draining worker can't be reached by the next owner and its entry goes
    And the owner <fate>, and another one takes the cell over
    Then the inherited task isn't started before the leases of the earlier owner have ended
    And the inherited task is started once no run of an earlier owner can be left

    Examples:
      | fate                                  |
      | dies                                  |
      | is cut off and renews leases for 10 s |

  # Guards against TWICE: the second owner forgot the worker and recorded its workers
  # without it, so that the third one didn't wait for it.
  Scenario Outline: The third owner waits for a draining worker that the second didn't reach
    When the draining worker can't be reached by the next owner and its entry goes
    And the owner dies, and another one takes the cell over
    And that one dies after <seconds> s, and a third one takes the cell over
    Then the inherited task isn't started before the leases of the earlier owner have ended
    And the inherited task is started once no run of an earlier owner can be left

    Examples:
      | seconds |
      | 1       |
      | 3       |

  # Guards against TWICE: while the store is away all entries go although all workers
  # live, so one probe that wasn't sent ended all runs on a draining worker.
  Scenario: A run goes on while all entries are gone and a probe of its worker isn't sent
    When all entries go and the draining worker can't be reached for 1 s
    And the entry of the other worker comes back 1 s before that of the draining one
    Then the run goes on and its task isn't started again
