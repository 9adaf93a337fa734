Feature: Client requests that a host without the store passes on
  Host "a" and its peers accept submissions in one store in memory; requests between
  them go over HTTP. How host "a" and each peer reach the store is given by scenario.

  # Guards against a host that is cut off from the store and holds or refuses what its
  # peers could store at once.
  Scenario Outline: A submission is stored through a peer while the store is <mode>
    Given a peer "b" that reaches the store
    And host "a" to which the store is <mode>
    When a submission is sent to host "a"
    Then the answer is 200 within 0.6 s
    And the submission is stored 1 time

    Examples:
      | mode                    |
      | known to be unreachable |
      | silent                  |
      | refusing                |

  # Guards against a submission that is stored twice, or refused though it is stored,
  # when the answer to the first commit is lost.
  Scenario: A submission whose first commit was applied without an answer is answered 200
    Given a peer "b" that reaches the store
    And host "a" to which the store is losing answers
    When a submission is sent to host "a"
    Then the answer is 200 within 0.6 s
    And the submission is stored 1 time

  # Guards against states and cancellations that wait for the store of a cut-off host.
  Scenario Outline: A <method> of a stored submission is answered by a peer
    Given a peer "b" that reaches the store
    And a submission that peer "b" has stored
    And host "a" to which the store is <mode>
    When a <method> of the submission is sent to host "a"
    Then the answer is 200 within 0.6 s

    Examples:
      | method | mode                    |
      | GET    | known to be unreachable |
      | GET    | silent                  |
      | DELETE | known to be unreachable |
      | DELETE | silent                  |

  # Guards against a peer that is left out because it had to wait for an owner's state.
  Scenario: A peer may take longer for a state than for a submission
    Given a peer "b" that takes 0.2 s for each read
    And a submission that peer "b" has stored
    And host "a" to which the store is known to be unreachable
    When a GET of the submission is sent to host "a"
    Then the answer is 200 within 1.5 s
    And peer "b" was asked 1 times

  # Guards against peers that are asked while the store answers.
  Scenario: A host that reaches the store asks no peer
    Given a peer "b" that reaches the store
    And host "a" to which the store is answering
    When a submission is sent to host "a"
    Then the answer is 200 within 0.6 s
    And peer "b" was asked 0 times

  # Guards against requests that hosts without the store pass to each other in a circle.
  Scenario: A peer that doesn't reach the store declines at once
    Given a peer "b" to which the store is known to be unreachable
    And a peer "c" that reaches the store
    And host "a" to which the store is known to be unreachable
    When a submission is sent to host "a"
    Then the answer is 200 within 0.6 s
    And the submission is stored 1 time
    And peer "b" passed on 0 requests

  # Guards against the wait for a peer that is down, for each request anew.
  Scenario: A peer that doesn't answer isn't asked again at once
    Given a peer "b" that is silent
    And a peer "c" that reaches the store
    And host "a" to which the store is known to be unreachable
    When 4 submissions are sent to host "a" in turn
    Then every answer is 200
    And peer "b" was asked at most 1 time

  # Guards against a host whose first peers happen to be cut off as well.
  Scenario: Several peers decline before one serves
    Given 5 peers to which the store is known to be unreachable
    And a peer "c" that reaches the store
    And host "a" to which the store is known to be unreachable
    When a submission is sent to host "a"
    Then the answer is 200 within 0.6 s

  # Guards against a refusal of what a silent peer may have stored.
  Scenario: What a silent peer may have stored is never refused
    Given a peer "b" that is silent
    And host "a" to which the store is refusing
    And host "a" knows that it doesn't reach the store
    When a submission is sent to host "a"
    Then the answer is 504 within 3.0 s

  # Guards against a refusal of what another attempt, still under way, may have stored.
  Scenario Outline: A <method> that comes while a peer is asked to store is answered 504
    Given a peer "b" that is silent
    And a peer "c" that reaches the store
    And host "a" to which the store is known to be unreachable
    When peer "c", without a cell, gets the <method> while peer "b" is asked to store
    Then the second answer is 504

    Examples:
      | method |
      | POST   |
      | DELETE |

  # Guards against a host that never refuses: what no peer could store has not run.
  Scenario: A submission that a peer has refused may be refused again
    Given a peer "c" that reaches the store
    And host "a" to which the store is known to be unreachable
    When peer "c", without a cell, gets 2 submissions for one id
    Then every answer is 503

  # Guards against requests that all hosts pass on while the store is down for all.
  Scenario: No peer is asked for a while after none could serve
    Given a peer "b" to which the store is known to be unreachable
    And host "a" to which the store is refusing
    And host "a" knows that it doesn't reach the store
    When 4 submissions are sent to host "a" in turn
    Then every answer is 503
    And peer "b" was asked at most 1 time

  # Guards against a refusal while the other one of two hosts may have stored it.
  Scenario Outline: Own answer <own> and a peer's answer <peer> give <answer>
    Then own answer <own> and a peer's answer <peer> give <answer>

    Examples:
      | own | peer                | answer |
      | 200 | none                | 200    |
      | 503 | none                | 503    |
      | 503 | 200                 | 200    |
      | 504 | 200                 | 200    |
      | 503 | 503                 | 503    |
      | 504 | 503                 | 504    |
      | 503 | unknown             | 504    |
      | 503 | 503 after unknown   | 504    |
      | 200 | 503                 | 200    |
      | 410 | none                | 410    |
      | 503 | 410                 | 410    |

  # Guards against all requests going to a peer that has just failed, and against a new
  # choice for each request.
  Scenario: The peer that served last is kept until it fails
    Given the peers "x y z"
    Then peer "x" is chosen at 1.0
    When peer "x" has not served at 1.0
    Then peer "y" is chosen at 1.0
    When peer "y" has served
    Then peer "y" is chosen at 9.0
    When peer "y" has not served at 9.0
    Then peer "x" is chosen at 9.0
    When peer "x" has not served at 9.0
    And peer "z" has not served at 9.0
    Then no peer is chosen at 9.0
    And peer "x" is chosen at 12.1
