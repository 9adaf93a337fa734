Feature: Entries of the stand-in's workers in the store

  # Guards against a stand-in that keeps the entry of a worker that nobody hears.
  Scenario: The entry of a cut-off worker goes three heartbeat periods after the last one
    Given a worker "w0" with the state "draining"
    When it is cut off at 10.0 s, 1.4 s after its last heartbeat
    Then its entry says "draining" at 13.0 s
    And its entry is gone at 13.2 s
    When it reaches the store again
    Then its entry says "draining" at 20.0 s

  # Guards against an entry of a worker that has left while it was cut off.
  Scenario: A worker that leaves while it is cut off doesn't return
    Given a worker "w0" with the state "ready"
    When it is cut off at 10.0 s, 0.0 s after its last heartbeat
    And it leaves
    Then its entry says "ready" at 14.0 s
    And its entry is gone at 14.6 s
    When it reaches the store again
    Then its entry is gone at 20.0 s

  # Guards against entries that stay away after an outage of the store, against one that
  # returns although its worker is cut off, and against one of a worker that has left.
  Scenario: Entries that were lost in an outage return within two seconds of its end
    Given a worker "w1" with the state "ready"
    And it is cut off at 0.0 s, 0.0 s after its last heartbeat
    And a worker "w2" with the state "ready"
    And it leaves
    And a worker "w0" with the state "ready"
    When all entries are removed, and due again at 30.0 s
    Then its entry is gone at 30.1 s
    And its entry says "ready" at 31.95 s
    And the store holds the entries of "w0" only
