Feature: Judgement of whether the store answers a host
  Calls, answers and times are given; a commit usually takes 0.02 s.

  Background:
    Given a host whose commits take 0.02 s

  # Guards against a host that holds requests although its store is silent, and against
  # one that gives up a store for one slow answer.
  Scenario: A call without an answer is overdue after 0.1 s
    When a read is sent at 10.0
    Then the store is reachable at 10.09
    And the store is unreachable at 10.11
    When the read is answered at 10.2
    Then the store is reachable at 10.2

  # Guards against a host that takes the store for reachable whenever a call has just
  # timed out and the next one is young.
  Scenario: A store whose calls time out stays unreachable until one is answered
    When a read is sent at 10.0
    And the read fails at 11.5
    Then the store is unreachable at 11.5
    When a read is sent at 11.6
    Then the store is unreachable at 11.6
    When the read is answered at 11.62
    Then the store is reachable at 11.62

  # Guards against a host that gives up its store because of one lost answer.
  Scenario: A call without an answer doesn't count once a newer one was answered
    When a read is sent at 10.0
    And another call is sent at 10.05 and answered at 10.07
    Then the store is reachable at 11.0

  # Guards against long polls, which the store holds, counting as silence.
  Scenario: A long poll is overdue only after its wait
    When a long poll of 1.8 s is sent at 10.0
    Then the store is reachable at 11.85
    And the store is unreachable at 11.95

  # Guards against a host that passes requests on because one call met a common limit.
  Scenario: The store is unreachable after two fast failures in a row
    When another call is sent at 10.0 and rejected at 10.01
    Then the store is reachable at 10.02
    When another call is sent at 10.1 and rejected at 10.11
    Then the store is unreachable at 10.12
    When another call is sent at 10.2 and answered at 10.21
    Then the store is reachable at 10.21

  # Guards against a slow store for which all hosts pass their requests to each other.
  Scenario: A store that has become slow stays reachable
    Given commits that take 0.8 s from 10.0 on
    When a read is sent at 20.0
    Then the store is reachable at 20.9
    And the store is unreachable at 21.01

  # Guards against a call that is given up by its caller counting as silence.
  Scenario: A cancelled call is forgotten
    When a read is sent at 10.0
    And the read is cancelled at 10.05
    Then the store is reachable at 12.0
