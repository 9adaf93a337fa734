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

  # Guards against TWICE: the next owner starts a task while a lease of the earlier one
  # lasts. Its heartbeats and reads fail, are answered or carried out late, it freezes,
  # and its clock, the workers' and the next owner's run up to 2% apart.
  Scenario: No lease of an owner that can't be asked outlasts the wait of the next one
    When 1000 takeovers from owners that can't be asked are simulated from seed 1
    Then no lease outlasts the wait of the next owner
    And some waits end less than 1 s after the last lease

  # Guards against a check that finds nothing.
  Scenario: Leases outlast the wait if the limit counts from confirmations alone
    When 100 such takeovers with limits counted from confirmations are simulated from seed 1
    Then some leases outlast the wait of the next owner

  # Guards against TWICE: heartbeats that are stored again after the cell was lost must not
  # make an owner act longer, as the next one counted from the earlier ones.
  Scenario Outline: When the last heartbeat before a confirmation was sent
    Given heartbeats sent at 1, 2 and 9 s that were acknowledged at 1.5, 4 and 9.5 s
    Then the last one acknowledged by <at> s was sent at <sent> s

    Examples:
      | at  | sent |
      | 1.4 | -inf |
      | 1.5 | 1    |
      | 3.9 | 1    |
      | 4   | 2    |
      | 9.4 | 2    |
      | 9.6 | 9    |

  # Guards against TWICE: a heartbeat that is no longer kept counted as sent at its time.
  Scenario: More heartbeats than are kept
    Given 100 heartbeats, one each 0.25 s, acknowledged at once
    Then the last one acknowledged by 24.8 s was sent at 24.75 s
    And the last one acknowledged by 9.1 s was sent at 9 s
    And the last one acknowledged by 8 s was sent at -inf s

  # Guards against TWICE: the owner's heartbeats fail for 7 s and succeed again after it
  # has lost the cell, of which it hasn't heard.
  Scenario: An owner whose heartbeats succeed again after it has lost its cell
    Given a cell with recorded workers "w1 w2"
    When its owner's last heartbeat before its last confirmation was sent 8 s ago
    And one that it sends now is acknowledged
    Then it acts for at most 1 s more
    And no lease that it asks for ends later than that
