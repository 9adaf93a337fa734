Feature: An entry process survives callers that do not behave
  Each process has the memory and descriptors of a users' machine. This feature runs alone.

  # Guards against memory that grows with what callers send and never read.
  Scenario Outline: Callers that do not behave: <what> to <server>
    Given a fleet of 1 hosts and 2 workers in one data centre
    And the service cards is in force everywhere
    When <n> unruly callers send <what> to <server> for 8 seconds
    Then its process lives, within the memory and descriptors of its machine
    And an ordinary request to the service is answered

    Examples:
      | what                         | server        | n    |
      | GETs of the service          | entry         | 40   |
      | GETs of an unknown service   | entry         | 40   |
      | orders of 900 KB             | entry         | 40   |
      | 999 KB of 1 MB, then silence | entry         | 400  |
      | GETs of the metrics          | entry_admin   | 40   |
      | GETs of the metrics          | planner_admin | 40   |
      | nothing                      | entry         | 4500 |
