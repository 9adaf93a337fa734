Feature: A server limits its connections and what they hold
  Connections of a server on transports that the test controls.

  # Guards against silent connections that use up the descriptors.
  Scenario: The connection that has waited longest for a request makes room
    Given a server with at most 3 connections
    When connections 1, 2 and 3 are opened
    And connection 1 sends a request that is answered
    And connection 4 is opened
    Then connection 2 is closed
    And connections 1, 3 and 4 are open
    When connection 5 is opened
    Then 2 closed connections were counted as "too-many-connections", and logged once

  # Guards against a crowd that is accepted faster than closed connections free their
  # descriptors: 1,024 at a time, which passed the limit by up to 3,072.
  Scenario: A crowd that waits to be accepted takes no more descriptors than are allowed
    Given a listening server with at most 20 connections
    When 400 clients have connected before it accepts any
    And it has closed 380 of them as "too-many-connections"
    Then it used at most 100 descriptors beyond its limit
    And 20 of its connections are open

  Scenario: A request that is being handled is never closed to make room
    Given a server with at most 2 connections
    When connections 1 and 2 are opened
    And connections 1 and 2 send a request
    And connection 3 is opened
    Then connection 3 is closed
    And connections 1 and 2 are open

  # Guards against handlers that pile up for clients that come and go.
  Scenario: A request whose client has gone counts until it is handled
    Given a server with at most 2 connections
    When connections 1 and 2 are opened
    And connections 1 and 2 send a request
    And connection 1 is lost
    And connection 3 is opened
    Then connection 3 is closed
    When the requests are answered
    And connection 4 is opened
    Then connections 2 and 4 are open

  # Guards against unfinished bodies that fill the memory together.
  Scenario: The connection that holds most of an unfinished body makes room
    Given a server whose connections hold at most 100000 bytes
    When connections 1, 2 and 3 are opened
    And connection 1 sends 40000 bytes of a longer body
    And connection 2 sends 50000 bytes of a longer body
    Then connections 1, 2 and 3 are open
    When connection 3 sends 20000 bytes of a longer body
    Then connection 2 is refused with status 503 as not run
    And connections 1 and 3 are open

  Scenario: Unfinished headers count as well
    Given a server whose connections hold at most 100000 bytes
    When connections 1, 2 and 3 are opened
    And connections 1 and 2 send 40000 bytes of headers
    Then connections 1, 2 and 3 are open
    When connection 3 sends 30000 bytes of a longer body
    Then connection 1 is refused with status 503 as not run
    And connections 2 and 3 are open

  Scenario: An ordinary request is handled while others hold all there is
    Given a server whose connections hold at most 100000 bytes
    When connections 1 and 2 are opened
    And connection 1 sends a request of 90000 bytes
    And connection 2 sends a request of 16000 bytes
    Then 2 requests are handled

  Scenario: A large request that finds no room is refused
    Given a server whose connections hold at most 100000 bytes
    When connections 1 and 2 are opened
    And connection 1 sends a request of 90000 bytes
    And connection 2 sends a request of 20000 bytes
    Then connection 2 is refused with status 503 as not run
    And 1 requests are handled
    When the requests are answered
    Then nothing is held
