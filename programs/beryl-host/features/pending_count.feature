Feature: Number of pending submissions while the owner of a cell publishes no load
  A host sums the loads of all cells; what was accepted after a load that is old is counted
  from the store.

  # Guards against MIXED: submissions accepted in a cell whose owner was dead or cut off
  # were in no load until the next owner had published its first.
  Scenario Outline: Submissions accepted after a load of <age> s ago give <n> pending
    Given a host that knows a cell's load of <age> s ago with 1 pending submission
    When other hosts have accepted 5 submissions in that cell since, and <event>
    Then the host gives <n> submissions of that queue as pending
    And it has read the store <reads> times

    Examples:
      | age | event                       | n | reads |
      | 5   | nothing else happens        | 6 | 1     |
      | 5   | 2 of them are cancelled     | 4 | 1     |
      | 5   | 3 in another cell           | 6 | 1     |
      | 5   | 3 of another queue          | 6 | 1     |
      | 5   | the owner publishes 6       | 6 | 0     |
      | 5   | the store can't be read     | 1 | 1     |
      | 1   | nothing else happens        | 1 | 0     |

  Scenario: The store is read once for several questions in a second
    Given a host that knows a cell's load of 5 s ago with 1 pending submission
    When other hosts have accepted 5 submissions in that cell since, and nothing else happens
    Then the host gives 6 submissions of that queue as pending
    And the host gives 6 submissions of that queue as pending
    And it has read the store 1 times

  # Guards against reads of the store for every cell of a large deployment, where each load
  # is published less often than once in 4 s.
  Scenario Outline: A load of <n> cells counts as old after <age> s
    Then a load counts as old after <age> s with <n> cells

    Examples:
      | n   | age |
      | 3   | 4   |
      | 240 | 40  |
