Feature: Placement decisions
  Policies are pure functions, tested on random cell views and by trace replay.

  Scenario Outline: Decisions of <policy> respect capacity, selectors and priorities
    When 300 random cell views are passed to "<policy>"
    Then no placement exceeds a worker's capacity less its reserve for services
    And every task is placed at most once, on a worker that its selector matches
    And only tasks below urgent priority are evicted, and only for urgent tasks

    Examples:
      | policy        |
      | colocate      |
      | first-fit     |
      | no-colocation |

  Scenario: An urgent task evicts the fewest tasks
    Given a worker with one task of 8 cores and another with eight of 1 core
    When the policy decides with an urgent task of 8 cores queued
    Then one task is evicted and the urgent task waits for its capacity

  Scenario: A faulty worker is told apart from a faulty group of tasks
    When tasks of three groups fail on worker w0 and succeed elsewhere
    Then only w0 is suspended
    When tasks of one group fail on every worker
    Then no further worker is suspended

  Scenario: Throttling precedes eviction, and is lifted only after a lasting recovery
    When a service slows down, slows down more, then recovers
    Then its tasks are throttled, one is evicted, then the rest unthrottled one by one

  Scenario: A group found to slow services down is kept away from them
    When reports show that group "noisy" slows services and "quiet" does not
    Then more tasks of "quiet" than of "noisy" are placed beside services

  Scenario: A worker is held for a starving large task
    When a task of 30 cores has waited for 61 s behind many of 1 core
    Then no small task is placed on the worker that is held for it

  Scenario Outline: A replay of <kind> violates no invariant
    When "<kind>" with seed <seed> is replayed for 600 s under "colocate"
    Then it has no violations and urgent tasks started within 7.5 s

    Examples:
      | kind              | seed |
      | press-season      | 11   |
      | noisy-waves       | 12   |
      | misdeclared       | 13   |
      | failing-worker    | 14   |
      | cancellation-wave | 15   |
