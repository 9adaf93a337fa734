Feature: The next owner learns when the leases of owners that it can't ask have ended
  An owner acts and grants leases for a limited time after a heartbeat that was stored
  before its last confirmation. The next owner reads when that heartbeat was written.
  Runs in memory.

  # Guards against TWICE: a heartbeat that tells nothing of the earlier owner's last
  # confirmation shortened the wait. Guards against LOST: one that tells it didn't.
  Scenario Outline: The leases of an earlier owner whose last heartbeat is <heartbeat>
    Given an earlier owner with a limit of 9 s whose last heartbeat is <heartbeat>
    When a host that acquired its cell 4 s later reads when its leases have ended
    Then they have ended 9.36 s after <event>

    Examples:
      | heartbeat                           | event                        |
      | of its incarnation                  | the heartbeat                |
      | of another incarnation              | the acquisition              |
      | missing                             | the acquisition              |
      | unreadable                          | the acquisition              |
      | in the table of another data centre | the acquisition              |
      | of an unknown data centre           | the acquisition              |
      | of before the host's first answer   | the first answer of the host |
      | newer than all answers              | the acquisition              |

  # Guards against TWICE: the owner whose leases last longest counts, also one of the
  # version before, which renews leases for 12 s and tells no limit.
  Scenario: One of several earlier owners tells no limit
    Given an earlier owner with a limit of 9 s whose last heartbeat is of its incarnation
    And an earlier owner of the version before
    When a host that acquired its cell 4 s later reads when its leases have ended
    Then they have ended 18.72 s after the acquisition

  # Guards against LOST: a cell was given up again and again because of one row, and waited
  # for the longest time after a read that failed once.
  Scenario Outline: The heartbeat of an earlier owner <fails>
    Given an earlier owner with a limit of 9 s whose last heartbeat is <heartbeat>
    When its next owner's first <n> reads of it have no answer
    Then the next owner goes on
    And it counts 9.36 s from <event> after at most 2 s

    Examples:
      | fails        | heartbeat          | n | event           |
      | isn't read   | of its incarnation | 2 | the heartbeat   |
      | is malformed | unreadable         | 0 | the acquisition |
