Feature: Routing decisions
  Pure code, tested with random sequences of events.

  Scenario: An attempt that may have run is retried only for idempotent requests
    Then next_step follows the retry rule for every result, attempt and idempotency

  Scenario: Bounds on limits, ejections and counts hold for any sequence of results
    When 200 random sequences of 300 results are applied to 8 upstreams
    Then no upstream exceeds its slots, and every limit stays from 1 to the slots
    And never more than half of the upstreams are ejected
    And no request is in flight when all attempts have ended

  Scenario: Retries stay within a share of requests
    When 1000 requests each ask for 3 retries
    Then at most 220 retries are allowed

  Scenario: The admission queue serves by priority and sheds the lowest
    Then requests leave by priority, and a full queue sheds the lowest
    And a request that would miss its deadline is rejected at once

  Scenario: A request with a claimed key is not sent again
    Then decide_key allows a claim only for absent and released keys

  Scenario: An upstream gets a slow start after ejection
    When an upstream fails repeatedly and its ejection ends
    Then its usable share of the limit grows back
