Feature: A store that is closed for seconds and opens again
  All connections are closed at once and refused for some seconds. Entries of workers may
  lapse meanwhile; those of workers that live are back within two seconds of its return.

  # Guards against LOST: an owner whose confirmation was too old to act, and hosts that were
  # to acquire cells, waited for a whole long poll after the return of the store.
  Scenario Outline: A follower of <table> knows at once that the store is back
    Given a host that follows <table>, of which no row changes
    When the store is closed for 1 s
    Then the follower is confirmed 0.5 s after its return

    Examples:
      | table           |
      | the cells       |
      | the submissions |
      | the workers     |

  # Guards against one request after the other to a store that answers at once.
  Scenario: A follower waits for changes again after the first answer
    Given a host that follows the cells, of which no row changes
    When the store is closed for 1 s
    Then the follower has sent at most 3 requests 0.5 s after its return

  # Guards against TWICE: entries that are missing only for a moment.
  Scenario Outline: Entries that lapse while the store is closed take no run from an owner
    Given an owner with the listed workers "w1 w2" and a run on "w1"
    When the store is closed for 1 s, all entries lapse, and <history>
    Then the owner has no worker listed, and still the run on "w1"
    When the entries of "w1 w2" are back
    Then the owner has the workers "w1 w2" listed, and still the run on "w1"

    Examples:
      | history                   |
      | its history is kept       |
      | its history is lost       |

  # Guards against LOST: a commit whose answer was lost, and a feed that begins anew.
  Scenario Outline: A submission that is stored as the store closes reaches its owner
    Given a host that follows the submissions, of which no row changes
    When the store is closed for 1 s, one is stored meanwhile, and <history>
    Then the host knows the submission 1 s after its return

    Examples:
      | history                   |
      | its history is kept       |
      | its history is lost       |

  # Guards against LOST: tasks to be moved couldn't start in their cell while the store was
  # closed, and moved on a load of before.
  Scenario: A move that the store refuses for long is dropped
    Given an owner that moves a task while the store is closed
    Then the move is dropped within 1.5 s
    And nothing has moved once the store is open

  # Guards against TWICE: the store may have carried it out.
  Scenario: A move without an answer isn't dropped
    Given an owner that moves a task while the store is closed, after an attempt without an answer
    Then the move isn't dropped within 1.5 s
    And it is settled once the store is open

  # Guards against a live host that counts as dead 3 s after an outage: its heartbeat came
  # after the rest of a call that timed out, a pause of a second and the next check.
  Scenario: A heartbeat follows soon after a call that timed out
    Given a host whose heartbeats aren't answered for 1.5 s
    When the store answers from 0.2 s after the first on
    Then the host's heartbeat is stored 2.0 s later
