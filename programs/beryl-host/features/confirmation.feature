Feature: A host has the store confirm that it owns a cell
  Runs in memory. The host's reads of all cells lag behind, as during an outage.

  # Guards against TWICE: a decision relied on an ownership that had ended. Guards against
  # LOST: the decision waited for the next read of all cells.
  Scenario: The owner row is read when a task waits for a confirmation
    Given a cell with recorded workers "w1 w2"
    When its owner, last confirmed 6 s ago, has a task that waits for a confirmation
    Then the task no longer waits for it
    And the owner row was read at most 3 times

  Scenario: The owner row is found to be another's when a task waits for a confirmation
    Given a cell with recorded workers "w1 w2"
    When another host acquires it and its owner has a task that waits for a confirmation
    Then the owner has ended

  # Guards against a store that is asked again ten times a second while it refuses, as
  # long as an outage lasts.
  Scenario: The store doesn't answer while a task waits for a confirmation
    Given a cell with recorded workers "w1 w2"
    When the store is down and its owner has a task that waits for a confirmation
    Then the task still waits for it
    And the owner row was read at most 4 times
    And the failed confirmations were logged once

  # Guards against LOST: pauses that grow without bound, or stay long after an outage.
  Scenario: The store answers again while a task waits for a confirmation
    Given a cell with recorded workers "w1 w2"
    When the store refuses 5 reads and its owner has a task that waits for a confirmation
    Then the task no longer waits for it within 3.0 s of the last of them

  # Guards against TWICE: an owner went on until its next look at its cells.
  Scenario: An owner stops to act as soon as it has read another owner's row
    Given a cell with recorded workers "w1 w2" that was released
    When a host acquires it and reads the next owner's row
    Then it may not act on the cell

  # Guards against TWICE: a start that waited for a connection was sent after that.
  Scenario: A start that waits for a connection isn't sent once the ownership is in doubt
    When a start order is to be sent while the ownership isn't confirmed
    Then it isn't sent

  # Guards against TWICE: an owner that knew of the next one, or whose state was in doubt
  # after an error, sent the starts that waited for a connection until it was stopped.
  Scenario Outline: A start that waits for a connection isn't sent once its owner <event>
    Given a cell with recorded workers "w1 w2"
    When a start order of its owner is to be sent, and again after the owner <event>
    Then only the first of the two was sent

    Examples:
      | event                       |
      | has read another one's row  |
      | has failed with an error    |
      | was told to stop            |

  # Guards against LOST: the lease of a run was renewed, as its owner took it, by the next
  # incarnation of its worker, whose clock had gone back. The run never counted as lost.
  # Guards against ends of that incarnation that are acknowledged before they are recorded.
  Scenario Outline: A worker answers as an incarnation of <start> start time
    Given a cell with recorded workers "w1 w2"
    When a hold is answered by an incarnation of "w1" with <start> start time
    Then the next hold <renews> the lease

    Examples:
      | start      | renews      |
      | the same   | renews      |
      | a later    | renews      |
      | an earlier | only probes |
