Feature: An owner's runs have stopped by the end of the time for which it may act
  The next owner, if it can't ask this one, waits until then and no longer. A worker may
  take 0.4 s to stop its runs after the end of their lease.

  # Guards against TWICE: a lease outlasted the wait of the next owner.
  Scenario Outline: An owner that may act for <left> s more asks for a lease
    Given a cell with 1 workers of 8 cores whose owner may act for <left> s more
    Then it asks for a lease of <lease> s

    Examples:
      | left | lease |
      | 20   | 5     |
      | 5.5  | 5     |
      | 3    | 2.6   |
      | 0.5  | 0.1   |
      | 0.3  | 0     |
      | 0    | 0     |
      | -1   | 0     |
      | -inf | 0     |

  # Guards against TWICE: a draining worker's shorter lease was made longer.
  Scenario Outline: An owner that may act for <left> s more asks a draining worker
    Given a cell with 1 workers of 8 cores whose owner may act for <left> s more
    And its worker drains
    Then it asks for a lease of at most <lease> s

    Examples:
      | left | lease |
      | 20   | 2     |
      | 1.5  | 1.1   |
      | -1   | 0     |

  # Guards against runs that lapse at once: a start got a lease of less than 1 s.
  # Guards against LOST: no task started though the owner was confirmed.
  Scenario Outline: A task of an owner that may act for <left> s more <starts>
    Given a cell with 1 workers of 8 cores whose owner may act for <left> s more
    When a task of 1 core waits
    Then it <starts>, with a lease of at most <lease> s
    And "ownership not confirmed for long" <explains>

    Examples:
      | left | starts        | lease | explains       |
      | 1.41 | starts        | 1.01  | isn't a reason |
      | 1.39 | doesn't start | 0     | is the reason  |
      | -1   | doesn't start | 0     | is the reason  |

  # Guards against LOST: a task went on waiting after a confirmation.
  Scenario: A task starts as soon as its owner may act for longer
    Given a cell with 1 workers of 8 cores whose owner may act for 1.3 s more
    When a task of 1 core waits
    Then it doesn't start, with a lease of at most 0 s
    When its owner may act for 9 s more
    Then it starts, with a lease of at most 5 s

  # Guards against TWICE: a worker that wasn't reached yet got a later deadline than the
  # owner could know of when it decided.
  Scenario: A start that was planned keeps its deadline
    Given a cell with 1 workers of 8 cores whose owner may act for 2 s more
    When a task of 1 core waits
    Then it starts, with a lease of at most 1.6 s
    When its owner may act for 9 s more
    Then it isn't started again, and its order has the same deadline
