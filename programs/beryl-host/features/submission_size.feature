Feature: Submissions that no row of the store holds
  A row holds 65,536 bytes, and a submission lies in one row. One that doesn't fit is refused
  when that is known: nothing of it is kept, and the store isn't asked.

  # Guards against submissions of which each takes 57 MB until the store has refused it.
  Scenario Outline: A submission of <n> steps is answered <status> after <n_commits> commits
    Given a host that knows a cell with capacity
    When a body of <n> steps arrives
    Then it is answered <status> after <n_commits> commits

    Examples:
      | n      | status | n_commits |
      | 190    | 200    | 1         |
      | 41001  | 503    | 0         |

  # Guards against a refusal, which promises that a submission never runs, of one that a row
  # with a shorter cell or queue holds.
  Scenario Outline: Steps and specification are counted, <excess> bytes beyond the limit
    Given a host that knows a cell with capacity
    When a body arrives whose steps and specification have <excess> bytes more than a row
    Then it is answered <status> after <n_commits> commits

    Examples:
      | excess | status | n_commits |
      | 0      | 200    | 1         |
      | 1      | 503    | 0         |

  Scenario: A refusal is no promise while a commit of the submission has no outcome
    Given a host that knows a cell with capacity
    When a submission arrives while commits have no outcome
    And a body of 41001 steps arrives
    Then it is answered 504 after 0 commits

  # Guards against memory that grows with large submissions which wait for the store.
  Scenario: Large submissions at once stay within the bytes that requests may hold
    Given a host that knows a cell with capacity
    And a store that doesn't answer
    When 6 bodies of 41001 steps arrive at once
    Then they hold less than the bytes that all requests may hold
