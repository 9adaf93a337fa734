Feature: What hosts tell each other of the operator's requests
  Peer requests over HTTP between hosts of one scenario; their stores are in memory.

  # Guards against a host that starts tasks in an evacuated data centre because the store
  # refuses it, and against one that serves an old configuration for as long.
  Scenario: A host that the store refuses follows the requests and the configuration
    Given a host "b" that knows configuration 3 and that "dc-2" is evacuated
    And a host "a" that the store refuses and that knows configuration 2
    When host "a" polls the others for 1 s
    Then host "a" knows that "dc-2" is evacuated
    And host "a" has configuration 3
    And the confirmation of host "a" is not newer than that of host "b"

  # Guards against requests between hosts while the store serves all of them.
  Scenario: A host that reads the store asks no other
    Given a host "b" that knows configuration 3 and that "dc-2" is evacuated
    And a host "a" that reads the store and that knows configuration 2
    When host "a" polls the others for 1 s
    Then host "b" was asked 0 times

  # Guards against starts under requests that are older than they are held to be.
  Scenario: The age of the answer counts from the poll
    Given a host "b" that knows configuration 3 and that "dc-2" is evacuated
    And the newest read of host "b" was sent 4.0 s ago
    And a host "a" that the store refuses and that knows configuration 2
    When host "a" polls the others for 1 s
    Then the confirmation of host "a" is at least 4.0 s old
    And the confirmation of host "a" is not newer than that of host "b"

  # Guards against a withdrawal that is undone, or a request that is lost, by old news.
  Scenario: Older news doesn't replace newer news
    Given a host "b" that knows configuration 3 and that "dc-2" is evacuated
    And the newest read of host "b" was sent 4.0 s ago
    And a host "a" that the store refuses and that knows configuration 2
    And host "a" has read later that nothing is evacuated
    When host "a" polls the others for 1 s
    Then host "a" knows of no evacuation
    And the confirmation of host "a" is at most 2.0 s old

  # Guards against a long poll that was sent early and tells of a newer request.
  Scenario: News of a higher version counts although its read was sent earlier
    Given a host "a" that the store refuses and that knows configuration 2
    And host "a" has read later that nothing is evacuated
    When a read that host "a" sent earlier tells at a higher version that "dc-2" is evacuated
    Then host "a" knows that "dc-2" is evacuated
    And the confirmation of host "a" is at most 2.0 s old

  # Guards against a configuration that goes back.
  Scenario Outline: A host keeps its configuration when it is told of <other>
    Given a host "b" that knows configuration <other> and that "dc-2" is evacuated
    And a host "a" that the store refuses and that knows configuration 5
    When host "a" polls the others for 1 s
    Then host "a" has configuration 5
    And the answers of host "b" held no configuration

    Examples:
      | other |
      | 4     |
      | 5     |

  # Guards against an old or broken configuration that a peer sends nevertheless.
  Scenario Outline: A configuration that is <fault> is not applied
    Given a host "a" that the store refuses and that knows configuration 5
    And a peer of host "a" that answers with a configuration that is <fault>
    When host "a" polls the others for 1 s
    Then host "a" has configuration 5
    And host "a" knows that "dc-2" is evacuated

    Examples:
      | fault  |
      | older  |
      | broken |

  # Guards against a host that ends or starts an evacuation, or stops polling, because
  # of an answer that it can't understand.
  Scenario Outline: The answer <answer> with status <status> is ignored
    Given a host "a" that the store refuses and that knows configuration 5
    And a peer of host "a" that answers <status> with <answer>
    When host "a" polls the others for 1 s
    Then host "a" knows of no evacuation
    And host "a" has confirmed nothing
    And the peer was asked at least 1 times

    Examples:
      | status | answer                                             |
      | 200    | {"age_ms": -1, "version": 3, "evacuated": ["dc-2"]}  |
      | 200    | {"age_ms": "1", "version": 3, "evacuated": ["dc-2"]} |
      | 200    | {"version": 3, "evacuated": ["dc-2"]}                |
      | 200    | {"age_ms": 1, "version": 3, "evacuated": "dc-2"}     |
      | 200    | {"age_ms": 1, "version": 3, "config": "%"}           |
      | 200    | [                                                  |
      | 503    | {"age_ms": 1, "version": 3, "evacuated": ["dc-2"]}   |

  # Guards against news that is passed on by a host that has none.
  Scenario Outline: A host <case> tells others nothing
    Given a host "b" <case>
    And a host "a" that the store refuses and that knows configuration 2
    When host "a" polls the others for 1 s
    Then host "a" has confirmed nothing
    And host "a" has configuration 2

    Examples:
      | case                              |
      | that has not read the store       |
      | of a deployment without evacuations |

  # Guards against an allowance that ends before a host of a data centre with a store is
  # asked, when the store refuses the whole own data centre.
  Scenario: Hosts of the own data centre are asked first, those of others in between
    Then with 5 hosts here and 2 elsewhere they are asked in order "l0 l1 r0 l2 l3 r1 l4 l0 r0"
    And with 0 hosts here and 2 elsewhere they are asked in order "r0 r1 r0"
    And with 2 hosts here and 0 elsewhere they are asked in order "l0 l1 l0"
