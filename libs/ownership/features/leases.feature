Feature: Cell ownership and worker leases under delayed, reordered and lost requests
  Hypothesis generates histories of owners, workers, a table and a network in simulated
  time; every decision is made by the functions of berylcleat.ownership.

  Scenario: No task runs on two workers, finishes twice or runs after its end
    When 150 generated histories of up to 60 events are run
    Then no history violates an invariant

  Scenario Outline: A scripted history is safe only with the worker's <mechanism> check
    When the history "<mechanism>" is run with and without that check
    Then it violates an invariant only without the check

    Examples:
      | mechanism   |
      | epoch       |
      | sequence    |
      | echo        |
      | incarnation |

  Scenario: Replaying a journal from any snapshot gives the same state as from the start
    When random journals are replayed with and without snapshots
    Then both replays give the same state

  Scenario: No host lapses while it sends heartbeats or because the table is unavailable
    When heartbeats are observed late and the table does not answer
    Then a host lapses only after its row stayed unchanged for the whole lease

  Scenario: The configuration version in force never decreases
    When configuration documents arrive in random order
    Then the version in force never decreases
