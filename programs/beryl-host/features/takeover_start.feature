Feature: A cell begins at once after its takeover, also beside an owner that doesn't answer
  Runs in memory.

  # Guards against LOST: leases on workers that were well ran out while the next owner
  # waited for the answer of a host that was gone.
  Scenario: A cell begins although the address of its earlier owner doesn't answer
    Given a cell with recorded workers "w1 w2" of an owner whose address doesn't answer
    When a host takes it over
    Then the cell has begun within 0.3 s
    And it waits for runs of earlier owners for 9 to 10 s

  # Guards against LOST: a reply that came too late for the beginning was of no use.
  Scenario: A later reply shortens the wait
    Given a cell with recorded workers "w1 w2" of an owner whose address doesn't answer
    When a host takes it over, and the earlier owner replies to the second request
    Then runs of the previous owner count as known within 2.0 s

  # Guards against TWICE: leases that the reply told of were forgotten, as the wait ended
  # with the earlier owner's limit.
  Scenario: A later reply tells of a longer lease than the limit
    Given a cell with recorded workers "w1 w2" of an owner whose address doesn't answer
    When a host takes it over, and the second reply tells of a lease for 15 s
    Then it waits for runs of earlier owners for 14 to 15 s

  # Guards against TWICE: a host that takes its own cell again began its next epoch before
  # it had stopped the earlier one, which takes longer than it waits for other hosts.
  Scenario: An earlier owner that is this host itself is stopped before the cell begins
    Given a cell with recorded workers "w1 w2"
    When its host takes it over from itself, and takes 0.3 s to stop
    Then the earlier epoch had been stopped before the next one began

  # Guards against TWICE while hosts are updated in turn: a limit that an earlier version
  # doesn't keep to. Guards against LOST: rows that one of the versions can't read.
  Scenario Outline: Hosts of this version and of the one before read each other's <row>
    When a host of the version before reads <row> of this version
    Then it reads all that it knows of
    When a host of this version reads <row> of the version before
    Then it reads that no limit is told

    Examples:
      | row                                |
      | the owner row                      |
      | the earlier owners in an owner row |

  # Guards against TWICE while hosts are updated in turn: hosts of the version before renew
  # leases for 12 s and longer after their last confirmation.
  Scenario Outline: A host takes over from an owner of <version>
    Given a cell with recorded workers "w1 w2" whose owner is of <version>
    When a host takes it over
    Then it waits for runs of earlier owners for <low> to <high> s

    Examples:
      | version            | low | high |
      | this version       | 9   | 10   |
      | the version before | 18  | 19   |

  # Guards against TWICE while hosts are updated in turn: an owner of the version before
  # between two of this one passes the limit of the first on as not told.
  Scenario: A host of the version before owned the cell in between
    Given a cell with recorded workers "w1 w2" whose owner is of this version
    When a host of the version before takes it over and is lost at once
    And a host takes it over
    Then it waits for runs of earlier owners for 18 to 19 s

  # Guards against TWICE: the owner before the last one, which none of the two could ask,
  # was left out or dated by the heartbeat of the last one. Guards against LOST: it was
  # waited for although its leases had ended.
  Scenario Outline: The owner before the last one can't be asked either, <case>
    Given a cell with recorded workers "w1 w2", taken over <taken> s ago
    And its last owner's last heartbeat is <last> s old, the one before's <before> s
    When a host takes it over and reads these heartbeats
    Then it waits for runs of earlier owners for <wait> s

    Examples:
      | case                             | taken | last | before | wait |
      | and both were lost just now      | 0     | 0    | 0      | 9.36 |
      | and was lost before the last one | 5     | 4    | 5      | 5.36 |
      | and its heartbeats go on         | 5     | 4    | 0      | 9.36 |
      | and its leases have ended        | 9.5   | 4    | 0      | 5.36 |

  # Guards against TWICE: an owner that restarted after the next one's acquisition counted
  # as stopped since before it, so the leases of its last seconds weren't waited for.
  Scenario: The owner before the last one has restarted just now
    Given a cell with recorded workers "w1 w2", taken over 2 s ago
    And its last owner's last heartbeat is 3.5 s old, the one before's 0 s
    When a host takes it over, and the one before has restarted
    Then it waits for runs of earlier owners for 6.24 s
