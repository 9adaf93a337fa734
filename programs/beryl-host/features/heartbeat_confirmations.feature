Feature: A host has its ownership confirmed after each heartbeat
  An owner's limit counts from a heartbeat that was stored before a confirmation, so the
  owner rows are read after each. Runs in memory.

  # Guards against LOST: an owner that is well acted only until 9 s after a heartbeat that
  # was older than need be.
  Scenario: The owner rows are read once after each heartbeat
    Given a host that owns a cell and reads its owner rows seldom
    When a heartbeat is acknowledged, and 1 s passes
    Then the owner rows have been read 1 times
    And its limit counts from that heartbeat
    When a heartbeat is acknowledged, and 1 s passes
    Then the owner rows have been read 2 times
    And its limit counts from that heartbeat

  # Guards against TWICE: a heartbeat without an answer counted as stored.
  Scenario: The answer to a heartbeat is lost
    Given a host that owns a cell and reads its owner rows seldom
    When a heartbeat is acknowledged, and 1 s passes
    And the answer to a heartbeat is lost, and 1 s passes
    Then the owner rows have been read 1 times

  # Guards against reads that a host without cells has no use for.
  Scenario: A host that owns no cell reads no owner rows after its heartbeats
    Given a host that owns no cell
    When a heartbeat is acknowledged, and 1 s passes
    Then the owner rows have been read 0 times

  # Guards against a store that is asked four times a second while it refuses, beside the
  # calls that wait for its return anyway.
  Scenario: The store refuses all calls after a heartbeat
    Given a host that owns a cell and reads its owner rows seldom
    When a heartbeat is acknowledged, the store refuses all calls, and 3 s pass
    Then the owner rows have been read at most 16 times

  # Guards against TWICE and LOST: an answer that comes late to a read that was sent
  # earlier set the confirmation back.
  Scenario: A long poll that was sent earlier is answered after a later read
    Given a host that owns a cell and reads its owner rows seldom
    When a read after a heartbeat is answered during a long poll, which ends then
    Then the confirmation is as late as that read

  # Guards against TWICE: a change that a read after a heartbeat tells of was left out.
  Scenario: A read after a heartbeat tells of the next owner
    Given a host that owns a cell and reads its owner rows seldom
    When another host acquires the cell, and a heartbeat is acknowledged
    Then the host may not act on the cell
