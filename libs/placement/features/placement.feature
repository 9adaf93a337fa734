Feature: Placement decisions
  Pure policies, driven over generated views and by replay.

  Scenario Outline: <policy> never exceeds a worker, a selector or its word
    When 300 random views are decided by "<policy>"
    Then no worker gets more than it holds beside its reserve
    And every task goes only where its placement admits it, and only once
    And only work of lower priority is evicted, and only for urgent tasks

    Examples:
      | policy        |
      | colocate      |
      | first-fit     |
      | no-colocation |

  Scenario: Urgent work evicts the fewest tasks
    Given a worker with one task of 8 cores and another with eight of 1 core
    When an urgent task of 8 cores is decided
    Then one task is evicted and the urgent task waits for its room

  Scenario: A worker that fails everything is told apart from a task that does
    When tasks of three groups fail on worker w0 and succeed elsewhere
    Then w0 is suspended and no other worker
    When tasks of one group fail on every worker
    Then no further worker is suspended

  Scenario: Throttling comes before eviction, and calm must last before it is lifted
    When a service is slow, then slower, then calm
    Then its batch is throttled, then one task evicted, then freed one at a time

  Scenario: A harmful group is learnt and kept away from services
    When reports show that group "noisy" slows services and "quiet" does not
    Then more tasks of "quiet" than of "noisy" are placed beside services

  Scenario: A large task that waits long holds a worker back from small ones
    When a task of 30 cores has waited for 61 s behind many of 1 core
    Then no small task goes to the worker that is held for it

  Scenario Outline: A replay of <kind> breaks no promise
    When "<kind>" with seed <seed> is replayed for 600 s under "colocate"
    Then it has no violations and urgent work started within 7.5 s

    Examples:
      | kind              | seed |
      | press-season      | 11   |
      | noisy-waves       | 12   |
      | misdeclared       | 13   |
      | failing-worker    | 14   |
      | cancellation-wave | 15   |
