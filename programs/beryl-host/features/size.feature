Feature: Cost of a host as hosts grow
  Hosts in five data centres write and read the store's rows for ten simulated seconds:
  one cell for four hosts, one submission of 1.5 kB every seven seconds for each host.
  Rows, bytes and calls are counted as on the wire.

  Scenario Outline: At <n> hosts a host makes at most twice the calls that it makes at 30
    When the store serves 30 and <n> hosts
    Then the calls a host and second at <n> hosts are at most 2 times those at 30

    Examples:
      | n    |
      | 100  |
      | 300  |
      | 1000 |

  Scenario Outline: At <n> hosts submissions cost an owner at most twice what they cost at 30
    When the store serves 30 and <n> hosts
    Then an owner's bytes of submissions at <n> hosts are at most 2 times those at 30
    And a host without cells reads no submission

    Examples:
      | n    |
      | 100  |
      | 300  |
      | 1000 |

  Scenario Outline: At <n> hosts a host moves at most twice the bytes that it moves at 30
    When the store serves 30 and <n> hosts
    Then the bytes a host and second at <n> hosts are at most 2 times those at 30

    Examples:
      | n   |
      | 100 |
      | 300 |

  Scenario: At 300 hosts a host moves at most 29 KB a second
    When the store serves 30 and 300 hosts
    Then the bytes a host and second at 300 hosts are at most 29000
