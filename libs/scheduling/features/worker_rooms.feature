# Guards against LOST: tasks moved to and fro between the cells with the most free processor
# time, none of whose workers had the label, memory or accelerators that they need.
Feature: A target cell is chosen by what decides whether a task starts there

  Scenario Outline: A <kind> task that needs <need> moves to the cell that can hold it
    Given a cell "most" of 8 workers with 8 cores, 1000 MB and no accelerator free
    And a cell "fit" of 2 workers with 8 cores, 8000 MB and 2 accelerators of label "b"
    When the target of a <kind> task of 4 cores that needs <need> is chosen
    Then the target is "<target>"

    Examples:
      | kind     | need           | target |
      | stuck    | nothing else   | most   |
      | stuck    | label b        | fit    |
      | stuck    | 4000 MB        | fit    |
      | stuck    | 1 accelerator  | fit    |
      | stuck    | label c        | none   |
      | stuck    | 9000 MB        | none   |
      | spilled  | label b        | fit    |
      | spilled  | 4000 MB        | fit    |
      | spilled  | label c        | none   |
      | standing | label b        | fit    |
      | standing | 1 accelerator  | fit    |
      | standing | label c        | none   |
      | starving | label b        | fit    |
      | starving | label c        | none   |
      | gang     | label b        | fit    |
      | gang     | label c        | none   |
      | filler   | nothing else   | most   |
      | filler   | label b        | fit    |
      | filler   | 4000 MB        | fit    |
      | filler   | label c        | none   |
      | crowded  | label b        | fit    |
      | crowded  | label c        | none   |

  Scenario Outline: <n> tasks of 2 cores fit on the free workers of a cell
    Given a cell "fit" of 2 workers with 8 cores, 8000 MB and 2 accelerators of label "b"
    Then <n> tasks of 2 cores that need <need> fit in "fit"

    Examples:
      | need                 | n |
      | nothing else         | 8 |
      | 3000 MB              | 4 |
      | 1 accelerator        | 4 |
      | at most 3 per worker | 6 |
      | label b              | 8 |
      | label c              | 0 |

  # Hosts of the version before publish processor time alone.
  Scenario: A load without labels and memory counts as before
    Given a cell "old" whose load tells of processor time alone
    When the target of a stuck task of 4 cores that needs label b is chosen
    Then the target is "old"

  Scenario: An owner publishes labels, memory and accelerators of its usable workers
    Given workers with the labels "a r1", "b r1" and "a r1"
    Then their rooms hold 2 sets of labels and 3 workers

  # Guards against steps that stay in full cells because short fillers hold memory elsewhere.
  Scenario: Memory that fillers hold counts as free, that of other tasks doesn't
    Given a worker of 64000 MB on which a filler holds 20000 MB and another task 10000 MB
    Then its rooms tell of 54000 MB

  # Bounds the bytes of a load.
  Scenario: Labels that are too long aren't published
    Given workers with 30 labels of 100 characters
    Then their rooms aren't told
