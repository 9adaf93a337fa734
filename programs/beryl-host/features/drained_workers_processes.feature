Feature: Leases of draining workers that are cut off, with real host processes
  Two workers of one cell behind loopback proxies. A draining worker that nobody reaches
  loses its entry, but its runs go on until its lease ends.

  # Guards against a start elsewhere before the lease of a draining worker has ended: an
  # entry that has gone and a probe that can't be sent don't show that the worker exited.
  Scenario Outline: Tasks of a draining worker that is cut off wait for the end of its lease
    Given <n_hosts> hosts and two workers behind proxies
    And a task of 8.0 s runs on one of the workers
    When that worker begins to drain
    And it is cut off from the store and from the hosts for <seconds> s, where a connect <fault>
    Then no task ran on two workers at once
    And the submission ends although that worker exits

    Examples:
      | n_hosts | seconds | fault   |
      | 1       | 6.0     | hangs   |
      | 1       | 6.0     | refused |
      | 2       | 4.6     | hangs   |

  # Guards against the same start by the next owner, which knows the worker only from the
  # record of the cell.
  Scenario Outline: The next owner waits for the end of the lease of a draining worker
    Given 2 hosts and two workers behind proxies
    And a task of 12.0 s runs on one of the workers
    When that worker begins to drain
    And it is cut off from the store until its entry is removed
    And the owner is killed while that worker is cut off from the hosts for 6.0 s, where a connect <fault>
    Then no task ran on two workers at once
    And the submission ends although that worker exits

    Examples:
      | fault   |
      | hangs   |
      | refused |
