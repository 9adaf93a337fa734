Feature: Division of the workers into cells

  # Guards against hosts that disagree on the cell of a worker: two owners would order it.
  Scenario Outline: The cell of rack <rack> with <n> racks a cell is <cell>
    Given cells of <n> racks
    Then rack "<rack>" belongs to cell "<cell>"

    Examples:
      | n | rack                | cell                |
      | 1 | r1-4                | r1-4                |
      | 2 | r1-1                | r1-1                |
      | 2 | r1-2                | r1-1                |
      | 2 | r1-3                | r1-3                |
      | 2 | r2-2                | r2-1                |
      | 3 | r1-6                | r1-4                |
      | 2 | r1-0                | r1-0                |
      | 2 | rack                | rack                |
      | 2 | r1-4000000000000001 | r1-4000000000000001 |

  # Guards against steps as wide as a rack that wait for one another in cells of one rack.
  Scenario: Racks with successive numbers form one cell where the contracts ask for it
    Given a host whose contracts are "health"
    When workers of the racks r1-1, r1-2, r1-3 and r2-1 are listed
    Then they form the cells r1-1 of 2, r1-3 of 1 and r2-1 of 1 workers

  Scenario: Each rack is a cell where no contract asks for more
    Given a host whose contracts are "base"
    When workers of the racks r1-1, r1-2, r1-3 and r2-1 are listed
    Then they form the cells r1-1 of 1, r1-2 of 1, r1-3 of 1 and r2-1 of 1 workers

  Scenario Outline: A host with racks_per_cell <n> doesn't start
    Given a host with racks_per_cell <n>
    Then its settings are rejected, naming racks_per_cell

    Examples:
      | n  |
      | 0  |
      | -1 |

  # Guards against a task that is sent away from its data.
  Scenario: A submission whose data lies in the second rack of a cell goes to that cell
    Given a chooser with cells of 2 racks, of which r1-1 and r1-3 have capacity
    When a submission with data in rack "r1-4" is accepted
    Then its home cell is "r1-3"

  # Guards against hosts with other cells than those that exist: workers would have two
  # owners, and submissions of cells that are gone would never run.
  Scenario Outline: Hosts agree on cells of <agreed> racks where <before> and <wanted> are wanted
    Given a store with <before>
    When two hosts that want cells of <wanted> racks start at once
    Then both have cells of <agreed> racks
    And a host that wants cells of 3 racks gets cells of <agreed> racks, too

    Examples:
      | before                     | wanted | agreed |
      | nothing                    | 2      | 2      |
      | an owner of a cell         | 2      | 1      |
      | a layout of 2 racks a cell | 4      | 2      |
      | a layout of 2 racks a cell | 1      | 2      |
      | nothing                    | 1      | 1      |

  # Guards against a host that takes a lost answer for its own layout.
  Scenario: A host whose layout was recorded without an answer reads it
    Given a store with nothing
    And the answers to the next 2 commits are lost
    When two hosts that want cells of 2 racks start at once
    Then both have cells of 2 racks

  # Guards against a host that acts before it knows the cells.
  Scenario: A host waits for a layout that can't be read
    Given a store with a layout that can't be decoded
    Then a host that wants cells of 2 racks waits

  # Guards against a log that fills while the store is away: it had four lines a second.
  Scenario Outline: A host without a layout logs the first of its failures
    Given a store whose next 4 reads <fail>
    When a host that wants cells of 2 racks starts
    Then it has logged 1 failure
    And it has cells of 2 racks

    Examples:
      | fail              |
      | are refused       |
      | fail unexpectedly |

  # Guards against gangs that need one rack and are moved by the sum of two.
  Scenario Outline: The load of a cell tells what one of its racks holds
    Given an owner of workers of 8 cores in the racks "<racks>"
    When another host reads its load
    Then tasks of 1 core have <cores> free cores there in one rack

    Examples:
      | racks             | cores |
      | r1 r2 r1 r2 r1    | 24    |
      | r1 r1             | 16    |
      | r1 r2             | 8     |
