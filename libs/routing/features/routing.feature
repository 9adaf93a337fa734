Feature: Routing decisions
  Pure code, driven over generated sequences of events.

  Scenario: What may have run is attempted again only for idempotent requests
    Then next_step follows the rule for every result and class

  Scenario: Limits, ejection and counts hold over any sequence of results
    When 200 random sequences of 300 results are played on a router of 8 upstreams
    Then in flight never passes the limit nor the slots
    And never more than half of the upstreams are ejected
    And every count returns to nothing when all attempts have ended

  Scenario: Retries stay a share of requests
    When 1000 requests each want 3 retries
    Then at most 220 retries are given

  Scenario: The waiting room serves by priority, sheds the lowest, never by accident
    Then a higher priority goes first and the lowest is shed when full
    And a request that could not be answered in time is refused at once

  Scenario: A claimed key is never sent again on a guess
    Then decide_key allows a claim only for absent and released keys

  Scenario: An ejected upstream comes back slowly
    When an upstream fails everything, and its pause ends
    Then it gets a growing share of its limit
