Feature: A server reads only as fast as it answers
  The connection of a server on a transport that the test controls.

  # Guards against requests that are buffered while one is handled.
  Scenario: Requests that are sent ahead wait until the one before is answered
    Given a connection of a server
    When 3 requests arrive in one read
    Then 1 request is being handled
    When 3 requests arrive in one read
    Then 1 request is being handled
    And reading is paused
    When every request is answered in turn
    Then 6 responses were sent
    And reading is not paused

  # Guards against responses that pile up for a client that doesn't read.
  Scenario: The next request waits until the response is read
    Given a connection of a server
    When 2 requests arrive in one read
    And the transport holds what is written
    And the request is answered
    Then no request is being handled
    When the transport sends what is written
    Then 1 request is being handled

  Scenario: A client that has closed its sending side gets its response
    Given a connection of a server
    When 2 requests arrive in one read
    And the client closes its sending side
    And every request is answered in turn
    Then 2 responses were sent
    And the connection is closed

  Scenario: A client that has gone is noticed while its request is handled
    Given a connection of a server
    When 1 requests arrive in one read
    Then reading is not paused

  # Guards against bodies over the limit that are read up to the limit first.
  Scenario Outline: A body over the limit is refused and discarded: <kind>
    Given a connection of a server with bodies of at most 1000 bytes
    When <kind> of 1001 bytes arrives
    Then it is refused with status 413 as not run
    And what still arrives is discarded
    And the connection closes after the client has closed it

    Examples:
      | kind                    |
      | only an announced body  |
      | a body without a length |

  Scenario: A body at the limit is handled
    Given a connection of a server with bodies of at most 1000 bytes
    When a whole body of 1000 bytes arrives
    Then 1 request is being handled
