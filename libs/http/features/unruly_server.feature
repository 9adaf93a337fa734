Feature: A server survives clients that do not behave
  The server runs in a process of its own; its handler takes 3 s. This feature runs alone.

  # Guards against requests that are buffered while one is handled.
  Scenario Outline: Clients that do not behave: <what>
    Given a server whose handler takes 3 s
    When <n> unruly clients send <what> for 8 seconds
    Then the server lives, within the memory and descriptors of a machine
    And an ordinary request is answered

    Examples:
      | what              | n  |
      | GETs              | 8  |
      | POSTs of 900 KB   | 40 |
