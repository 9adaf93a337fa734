Feature: An owner acts only on what was so when the store last confirmed it
  A later owner may exist from the owner's last confirmation on. What a worker tells under
  the owner's epoch holds all the same; what the owner presumes itself doesn't.

  # Guards against TWICE: the next owner had renewed the lease of a run that the earlier
  # one took for lost, and had acknowledged its end.
  Scenario: A run whose lease has expired is lost only once the store confirms the owner
    Given a cell with 2 workers of 8 cores whose owner was just confirmed
    And a task that runs on a worker that falls silent
    When 8 seconds pass
    Then the task isn't started again, and a confirmation is awaited
    When the owner is confirmed as of now
    Then the task is started on the other worker

  # Guards against TWICE: the next owner knew the end of the run before the restart.
  Scenario: A task whose worker has restarted starts again only after a confirmation
    Given a cell with 2 workers of 8 cores whose owner was just confirmed
    And a task that runs on a worker that restarts
    When 1 seconds pass
    Then the task isn't started again, and a confirmation is awaited
    When the owner is confirmed as of now
    Then the task is started on any worker

  # Guards against TWICE: a restarted worker has forgotten the epoch of the next owner.
  Scenario: No task starts on a restarted worker before a confirmation
    Given a cell with 1 workers of 8 cores whose owner was just confirmed
    When the worker reports a restart
    And a new task is added
    Then the task isn't started again, and a confirmation is awaited
    When the owner is confirmed as of now
    Then the task is started on any worker

  # Guards against LOST: ordinary work must go on while the store doesn't answer.
  Scenario: A task starts, and fails and starts again, without a newer confirmation
    Given a cell with 1 workers of 8 cores whose owner was just confirmed
    When 2 seconds pass
    And a new task is added
    Then the task is started on any worker
    When the worker reports that its run has failed
    Then the task is started on any worker

  # Guards against TWICE: the next owner waits for runs of such submissions only as long
  # as an owner that has lost its cell may still hear of them.
  Scenario Outline: A submission is received <seconds> s after the owner's confirmation
    Given a cell with 1 workers of 8 cores whose owner was just confirmed
    When <seconds> seconds pass
    And a new task is added
    Then <outcome>

    Examples:
      | seconds | outcome                                                   |
      | 2       | the task is started on any worker                         |
      | 4       | the task isn't started again, and a confirmation is awaited |

  # Guards against TWICE: runs of the earlier owner, renewed by the next one.
  Scenario: Runs of an earlier owner have expired only once the store confirms that
    Given a cell of 3 workers taken over with runs unknown for 18 s, one of them silent
    And its owner is confirmed no more after 5 s
    When an inherited task waits for 20 s
    Then the task isn't started again, and a confirmation is awaited
    When the owner is confirmed as of now
    Then the task is started on any worker

  # Guards against TWICE: an earlier owner that hears of a move to its epoch starts the
  # task, also one of a submission that the present owner received long after it began.
  Scenario Outline: A task of a new submission moves here under epoch <epoch> of the cell
    Given a cell of 3 workers taken over with runs unknown for 18 s, one of them silent
    When a new submission's task is moved here after 8 s under epoch <epoch>, this owner has 2
    Then <outcome>

    Examples:
      | epoch | outcome                      |
      | 2     | it is started after 9 s      |
      | 1     | it isn't started before 18 s |
      | 0     | it isn't started before 18 s |

  # Guards against TWICE: an order that waits for a connection is sent to the worker's
  # next incarnation.
  Scenario: A start isn't sent if its worker has restarted since it was decided
    Given a cell with 1 workers of 8 cores whose owner was just confirmed
    When a new task is added
    And the worker reports a restart
    Then the start may not be sent any more

  # Guards against DRAIN and LIMIT: a start waits for its connection for seconds behind
  # others, and was sent to a worker that was out of use or full by then.
  Scenario Outline: A start isn't sent if its worker <event> after it was decided
    Given a cell with 1 workers of 8 cores whose owner was just confirmed
    When a new task is added
    And the worker <event>
    Then the start may not be sent any more

    Examples:
      | event                                      |
      | begins to drain                            |
      | is no longer listed                        |
      | reports a run of an unknown submission     |
      | reports a run of 5 cores that isn't wanted |
