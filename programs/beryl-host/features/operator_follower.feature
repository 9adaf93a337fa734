Feature: Evacuation requests that a host follows
  In memory, on a store that loses answers and history, behind a slow link.

  # Guards against a request that waits until the configuration no longer changes.
  Scenario Outline: A request is known in time while the configuration changes
    Given a configuration that takes 0.15 s to arrive over the link of a host
    When it changes every 0.27 s for 4.4 s and "dc-2" is <change> 1.5 s after its start
    Then the host knows within 1.0 s that "dc-2" is <state>
    And the host has the newest configuration
    And no confirmation was newer than the read that it came with

    Examples:
      | change    | state         |
      | evacuated | evacuated     |
      | returned  | not evacuated |

  # Guards against a backlog of versions that is delivered before the request, when the
  # first read takes longer than the time between two versions. The bound is the deadline.
  Scenario: A request is known before the deadline behind a very slow link
    Given a configuration that takes 1.5 s to arrive over the link of a host
    When it changes every 0.27 s for 8.0 s and "dc-2" is evacuated 1.5 s after its start
    Then the host knows within 5.0 s that "dc-2" is evacuated

  # Guards against more load on the store than before evacuations existed.
  Scenario: Following the requests costs as many calls as following the configuration
    Given a configuration that takes 0.01 s to arrive over the link of a host
    When it changes every 0.27 s for 2.0 s and a host without evacuations follows it
    And the same changes are followed by a host with evacuations
    Then both hosts made about as many calls and none listed or read more than once

  # Guards against calls for waves where there is none.
  Scenario: Following maintenance waves costs no call while there is none
    Given a configuration that takes 0.01 s to arrive over the link of a host
    When it changes every 0.27 s for 2.0 s and a host without evacuations follows it
    And the same changes are followed by a host with maintenance waves, and no wave
    Then both hosts made about as many calls and none listed or read more than once

  # Guards against calls for waves that delay the news of the configuration, where no
  # check applies because the link is slower than the changes.
  Scenario: Waves cost no call while there is none, behind a link slower than the changes
    Given a configuration that takes 0.3 s to arrive over the link of a host
    And each call over the link takes 0.3 s
    When it changes every 0.27 s for 8.0 s and a host without evacuations follows it
    And the same changes are followed by a host with maintenance waves, and no wave
    Then both hosts made about as many calls and learned as many configurations

  # Guards against a wave that is missed because the change feed is left out up to a
  # checked version, against a malformed row that hides another one, and against a
  # removed wave that goes on.
  Scenario Outline: Waves are known while the configuration changes, <names> waves
    Given a configuration that takes <link> s to arrive over the link of a host
    When it changes every 0.27 s for 8.0 s while <names> waves are written and removed
    Then the host knew of each wave, and of its removal, within 1.5 s

    Examples:
      | link | names           |
      | 0.01 | only            |
      | 0.15 | only            |
      | 0.3  | only            |
      | 0.3  | evacuations and |

  # Guards against a request that is lost with the answer that told of it.
  Scenario: The answer that tells of a request is lost
    Given a host that follows the operator's table
    When the next answer that holds a request is lost and "dc-2" is evacuated
    Then the host knows within 1.0 s that "dc-2" is evacuated

  # Guards against a withdrawal that is missed: the change feed no longer tells of it.
  Scenario: A request is withdrawn while the store drops its history
    Given a host that follows the operator's table
    And "dc-2" and "dc-3" are evacuated
    When "dc-2" is returned during an outage and the store drops its history
    Then the host knows within 1.0 s that "dc-3" is evacuated
    And the host knows within 1.0 s that "dc-2" is not evacuated

  # Guards against a withdrawal that is missed: a full read holds no removed rows.
  Scenario: A request is withdrawn during an outage
    Given a host that follows the operator's table
    And "dc-2" and "dc-3" are evacuated
    When "dc-2" is returned during an outage
    Then the host knows within 1.0 s that "dc-3" is evacuated
    And the host knows within 1.0 s that "dc-2" is not evacuated

  # Guards against an evacuation that ends because a conflict names other rows only.
  Scenario: A store whose conflicts return only the rows that differ ends no evacuation
    Given a store whose conflicts return only the rows that differ
    And a host that follows the operator's table
    And "dc-2" and "dc-3" are evacuated
    When the configuration changes 20 times, every 0.04 s
    Then "dc-2" was evacuated all the time

  # Guards against a request that the version check has passed over because its data
  # centre was not known then.
  Scenario: A data centre becomes known after its evacuation
    Given a host that follows the operator's table
    When "dc-9", unknown to the host, is evacuated just before a version check
    And the host learns that there is a data centre "dc-9"
    Then the host knows within 1.0 s that "dc-9" is evacuated

  # Guards against a request for a data centre called like another row, or none at all.
  Scenario: Other rows of the operator's table are left alone
    Given a host that follows the operator's table
    When the operator writes the rows "other evacuate zone/dc-2"
    Then the host knows of no evacuation

  # Guards against starts that never end: an answer that is late by its sending counts.
  Scenario: During an outage nothing is confirmed
    Given a host that follows the operator's table
    When the store is out of reach for 0.5 s
    Then the host's confirmation is at least 0.4 s old
