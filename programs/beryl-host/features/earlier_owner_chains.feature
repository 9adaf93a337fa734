Feature: Waits for the runs of several earlier owners
  Runs in memory. The first owner of a cell is gone for good and its last heartbeat is
  10 s old; a second one acquired the cell and stopped; a third one acquires it now.

  # Guards against TWICE: the wait counted from the first owner's last heartbeat, and the
  # leases of the second one, which had stopped just before, were counted nowhere.
  Scenario Outline: Leases of an owner that <stop> are waited for beside an owner that is gone
    Given a second owner that acquired the cell 6 s ago and <stop>
    When a third owner acquires the cell
    Then a worker that never answers has its last run ended after 5.1 s or later

    Examples:
      | stop            |
      | restarted       |
      | released it     |
