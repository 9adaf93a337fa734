Feature: The real decision code under every order of events
  Hypothesis drives owners, workers, a table and a network that delays, reorders and
  loses requests, in logical time, through the product's own functions.

  Scenario: No task runs in two places and no worker holds more than it has
    When 150 histories of up to 60 events are played
    Then none of them breaks a promise

  Scenario Outline: A scripted history is kept safe by <mechanism>, and by nothing else
    When the history "<mechanism>" is played with and without it
    Then it breaks a promise only without

    Examples:
      | mechanism   |
      | epoch       |
      | sequence    |
      | echo        |
      | incarnation |

  Scenario: A journal folded whole or from any snapshot gives the same state
    When random journals are folded with and without snapshots
    Then both states are the same

  Scenario: A host is never held dead while it beats, nor by the table's silence
    When heartbeats are seen late, and the table is silent
    Then a host lapses only after its row stood still for the whole lease

  Scenario: A configuration follower never goes back
    When documents arrive in any order
    Then the version in force never falls
