Feature: Heartbeats of earlier owners are dated by the store's clock
  The store's answers tell what its steady clock shows. Times are given; the clocks differ
  by 2 percent at most.

  # Guards against LOST (issue 55): a host that started after the earlier owner had gone
  # counted its last heartbeat from its own start.
  Scenario: A host that has only just started dates the last heartbeat of an earlier owner
    Given an earlier owner whose last heartbeat tells that the store's clock showed 50000 ms
    When a host that knows no versions reads it 6 s later
    Then the heartbeat counts as sent 5.88 s before that

  Scenario Outline: A heartbeat whose time isn't known tells nothing
    Given an earlier owner whose last heartbeat tells that the store's clock showed <sent> ms
    When a host that knows no versions reads it and the clock shows <shown> ms
    Then the heartbeat counts as sent 0.00 s before that

    Examples:
      | sent  | shown |
      | 0     | 56000 |
      | 50000 | no    |
      | 50000 | 40000 |

  # Guards against TWICE: a heartbeat that tells an earlier time than its sending shortens
  # the wait for its owner.
  Scenario Outline: The clock shows no more than is reckoned after <answers>
    When answers tell <readings> ms, asked for and received at <times> s
    Then the clock is reckoned to show at most <latest> ms at <at> s

    Examples:
      | answers                       | readings    | times              | at | latest  |
      | none                          |             |                    | 1  | 0       |
      | one                           | 1000        | 0.0-0.1            | 1  | 2020    |
      | a slow one after a quick one  | 1000, 2900  | 0.0-0.1, 0.5-2.0   | 3  | 4060    |
      | a quick one after a slow one  | 2900, 3100  | 0.5-2.0, 2.1-2.2   | 3  | 4018    |
      | the store's clock jumped back | 9000, 1000  | 0.0-0.1, 1.0-1.1   | 2  | 2020    |
      | the store's clock jumped on   | 1000, 90000 | 0.0-0.1, 1.0-1.1   | 2  | 91020   |
