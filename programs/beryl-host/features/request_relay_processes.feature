Feature: Clients of a host process that is cut off from the store
  Real host processes of one data centre against the stand-in platform; they reach its
  store by proxies, and each other directly.

  # Guards against a host that holds or refuses its clients' requests, and shows states
  # that are out of date, for as long as it doesn't reach the store.
  Scenario Outline: A host <role> serves its clients through its peers
    Given 3 hosts with proxies to the store and 3 workers
    When the proxy of the host <role> is <mode> for 2 s
    Then 4 submissions to that host are answered 200 within 1.0 s each
    And that host reports them as done, and one that nobody has sent with 410
    And no task ran twice
    When the proxy of that host is open again
    Then that host answers a submission without its peers

    Examples:
      | role                 | mode    |
      | without a cell       | silent  |
      | without a cell       | refused |
      | that owns the cell   | silent  |
