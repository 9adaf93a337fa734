# Guards against UNASKED: a host answered 410 to a DELETE because it read no submission,
# while the store still carried out another host's write of it.
Feature: Cancellations of submissions that aren't stored
  Hosts "a" and "b" serve clients with one store in memory.

  Scenario: A write that is carried out after the cancellation stores nothing
    Given the store leaves the next submission unanswered
    When the submission is sent to host "a"
    And a DELETE of it is sent to host "b"
    Then the answer of the host is 410
    When the store carries out the unanswered write
    Then the submission isn't stored
    And a GET of it at host "a" is answered 410

  Scenario: A write that is carried out during the cancellation is cancelled
    Given the store leaves the next submission unanswered
    When the submission is sent to host "a"
    And the store carries out the unanswered write before the next commit
    And a DELETE of it is sent to host "b"
    Then the answer of the host is 200
    And the submission is stored as cancelled

  Scenario: What is sent again after its cancellation is accepted as cancelled
    When a DELETE of it is sent to host "b"
    Then the answer of the host is 410
    When the submission is sent to host "a"
    Then the answer of the host is 200
    And the submission isn't stored
    And a GET of it at host "b" is answered 200 canceled
    And a DELETE of it at host "a" is answered 200

  Scenario: A cancellation that the store doesn't answer isn't acknowledged
    Given the store leaves all commits unanswered
    When a DELETE of it is sent to host "b"
    Then the answer of the host is 504

  Scenario: A repeated cancellation writes nothing
    When a DELETE of it is sent to host "b"
    And a DELETE of it is sent to host "a"
    Then the answer of the host is 410
    And the store has applied 1 commit

  # Guards against a store that clients fill with ids that they make up.
  Scenario: A host records a limited number of cancellations of unknown ids
    When DELETEs of 201 ids that nobody has sent are sent to host "a"
    Then 200 are answered 410 and 1 is answered 503
    And a DELETE of it at host "b" is answered 410

  # Guards against hosts of the version before that take such a row for a submission.
  Scenario: Hosts that know only home cells can't decode an early cancellation
    When a DELETE of it is sent to host "b"
    Then a host of the version before can't read the home of the submission

  Scenario Outline: An early cancellation is <kept> after <seconds> s
    When a DELETE of it is sent to host "b"
    And a <kind> host cleans up for <seconds> s
    Then <n> rows are left of it

    Examples:
      | kept    | seconds | kind        | n |
      | kept    | 270     | responsible | 2 |
      | removed | 330     | responsible | 0 |
      | kept    | 330     | other       | 2 |

  Scenario: The time starts anew when the submission is sent again
    When a DELETE of it is sent to host "b"
    And a responsible host cleans up for 270 s
    And the submission is sent to host "a"
    And a responsible host cleans up for 60 s
    Then 2 rows are left of it

  # Guards against removals of more rows than one transaction holds.
  Scenario: 70 early cancellations are removed in several transactions
    When DELETEs of 70 ids that nobody has sent are sent to host "a"
    And a responsible host cleans up for 330 s
    Then no early cancellation is left
