Feature: Promises under random faults from outside
  Three hosts and six workers behind loopback proxies; links are delayed, silenced, cut
  one way, refused and reset, the store is away, hosts are killed, stopped and paused.

  Scenario Outline: Seed <seed> breaks no promise
    When a soak of <seconds> seconds is played with seed <seed>
    Then no task ran twice, no accepted submission was lost, no refused one ran

    Examples:
      | seed | seconds |
      | 1    | 10      |
      | 2    | 15      |

  # A takeover's commit had lost its answer, and its cell was driven by nobody.
  Scenario Outline: Seed <seed>, which once left a cell without a driver
    When a soak of <seconds> seconds is played with seed <seed>
    Then no task ran twice, no accepted submission was lost, no refused one ran

    Examples:
      | seed | seconds |
      | 21   | 15      |
      | 66   | 15      |
      | 67   | 15      |
