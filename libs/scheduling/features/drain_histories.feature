Feature: Cell ownership while workers drain, exit, return and are cut off
  The real scheduler runs in simulated time. Workers drain for 2 to 8 s, exit and return
  as a new incarnation; they are cut off from the store and from owners for 3 to 7 s, so
  that their entries go and come back; probes aren't sent during a cut and after an exit;
  the store is away, and all entries are lost with it; owners are replaced meanwhile.

  # Guards against TWICE: a draining worker that is cut off counted as exited before its
  # lease had ended (seeds 6, 15 and 36 of 2 cells, 2, 4 and 6 of 4 on 9c076b5).
  # Guards against LOST: work that waits for the lease of a worker that has exited.
  Scenario Outline: All invariants hold though workers of <n_cells> cells drain and are cut off
    When <n> histories of 40 seconds with <n_cells> cells and draining workers are simulated from seed 1
    Then no task ran twice, before its dependencies, or beyond its attempts
    And no end was acknowledged before it was recorded
    And every submission has ended in every history

    Examples:
      | n  | n_cells |
      | 40 | 2       |
      | 6  | 4       |

  # Guards against TWICE: the same beside owners that learn late of a takeover (seeds 5,
  # 10 and 16), and while connections open late (seed 13).
  Scenario Outline: All invariants hold though workers drain beside <fault>
    When <n> histories of 40 seconds with draining workers and <fault> are simulated from seed <seed>
    Then no task ran twice, before its dependencies, or beyond its attempts
    And no end was acknowledged before it was recorded
    And every submission has ended in every history

    Examples:
      | fault                  | n  | seed |
      | owners that learn late | 12 | 5    |
      | late connections       | 8  | 8    |

  # Guards against a check that finds nothing.
  Scenario: Histories with draining workers show a second run without the wait for the lease
    When histories with draining workers are simulated without "wait for the lease" until a task runs twice
    Then a violation was found
