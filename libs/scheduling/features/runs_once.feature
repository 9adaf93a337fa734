Feature: A task runs once although news of its run come late
  An owner learns of a run or of an end after it has decided something else on the task.

  # Guards against TWICE: a start that a restarted worker had accepted was repeated.
  Scenario: A start on a worker that has just restarted isn't repeated elsewhere
    Given a cell with 2 workers of 8 cores
    And a task that a worker has accepted right after its restart
    When the list names the restart before the worker reports
    Then the task isn't started a second time
    When the worker reports the run
    Then no run is stopped
    And the task isn't started a second time

  # Guards against TWICE: a restarted worker has forgotten the epoch that fences starts.
  Scenario: No task starts on a worker whose last hold failed until it reports again
    Given a cell with 1 workers of 8 cores
    When a hold of the worker fails
    And a task is added
    Then the task isn't started a second time
    When the worker reports again
    Then the task is started here

  # Guards against LOST: the start above must not wait for ever.
  Scenario: A start on a restarted worker that stays silent is repeated after every lease
    Given a cell with 2 workers of 8 cores
    And a task that a worker has accepted right after its restart
    When the list names the restart before the worker reports
    And the worker stays silent for 6 seconds
    Then the task isn't started a second time
    When the worker stays silent for 1 seconds
    Then the task is started on the other worker

  # Guards against TWICE: the run below was stopped and its task started again at once.
  Scenario: A run of a moved task that is reported before its submission is adopted
    Given a cell with 2 workers of 8 cores
    When a worker reports a run of a task whose submission is unknown
    And the submission of another cell is added with the task moved here
    Then no run is stopped
    And the task isn't started a second time

  # Guards against TWICE (fb0e138771b5a18f.0.1.14): a task was started in another cell
  # after its end here had been acknowledged.
  Scenario: An end that comes in during a move is acknowledged only once the move failed
    Given a task whose worker fell silent and that is being moved to another cell
    When the worker reports that the task is done
    Then no end may be acknowledged
    When the move fails
    Then the end may be acknowledged
    And the task is done and isn't started here

  # Guards against TWICE (fb0e138771b5a18f.0.1.14), if the move is applied all the same.
  Scenario: An end of a task that has moved is acknowledged once its cell has recorded it
    Given a task whose worker fell silent and that is being moved to another cell
    When the worker reports that the task is done
    And the move is applied
    Then no end may be acknowledged
    And the task isn't done here
    When the end is reported to the other cell
    Then the other cell has recorded it before it counts as reported
    And the other cell doesn't start the task
    And the end may be acknowledged

  # Guards against TWICE: the task started here again before its late end was counted.
  Scenario: A late end is counted at once when its task moves back
    Given a task whose worker fell silent and that is being moved to another cell
    When the worker reports that the task is done
    And the move is applied
    And the task is moved back here
    Then the task is done and isn't started here

  Scenario: An end of a submission that stays unknown is looked for after 3 seconds
    Given a cell with 1 workers of 8 cores
    When a worker reports the end of a task whose submission is unknown
    And 2 seconds pass
    Then no cell is looked for
    When 2 seconds pass
    Then the cell that counts the end is looked for

  Scenario: A run that is found during a move is stopped
    Given a task whose worker fell silent and that is being moved to another cell
    When the worker reports that the task runs
    Then the run is stopped
    When the run has ended and the move fails
    Then the task is started here

  # Guards against BUDGET: failed runs of two cells had one number and counted once.
  Scenario: A task that moves after a takeover gets numbers above all its earlier runs
    Given a cell taken over under epoch 3 with a task that is being moved
    Then the other cell numbers its runs above 2000

  # Guards against TWICE: the next owner must ask a worker whose ends aren't recorded yet.
  Scenario: A worker that is gone from the list stays known until its ends are recorded
    Given a cell with 1 workers of 8 cores
    And a task that has ended on a worker that is no longer listed
    Then the worker must stay known
    When the end is recorded
    Then the worker may be forgotten

  # Guards against TWICE: an entry that is missing for a moment, as after a restart of the
  # store, and a lost hold let the owner forget the worker and its run. The feed delivered
  # the submission afterwards.
  Scenario: A worker that is gone from the list stays known while a run there is unknown
    Given a cell with 2 workers of 8 cores
    When a worker reports a run of a task whose submission is unknown
    And the worker is silent and no longer listed, and is forgotten if it may be
    And the submission is added
    And 3 seconds pass
    Then the task isn't started a second time
    When 5 seconds pass
    Then the task has started on "w1" alone

  # Guards against probes without end of a worker that has left.
  Scenario: A worker that left with an unknown run is forgotten after its lease
    Given a cell with 2 workers of 8 cores
    When a worker reports a run of a task whose submission is unknown
    And the worker is silent and no longer listed, and is forgotten if it may be
    And 3 seconds pass
    Then the owner knows "w0"
    When 5 seconds pass
    And the worker is silent and no longer listed, and is forgotten if it may be
    Then the owner doesn't know "w0"

  # Guards against LOST: each refused connection counted the longest lease anew.
  Scenario: A start on a drained worker that has exited is repeated after every lease
    Given a cell with 2 workers of 8 cores
    And a task that a worker has accepted right before it drains and leaves
    When its connections are refused for 6 seconds
    Then the task isn't started a second time
    When its connections are refused for 1 seconds
    Then the task is started on the other worker

  # Guards against LOST: the cell where the last attempt failed, after the task had moved
  # on, told nobody, and a task that moved back there was neither run nor given up.
  Scenario: A last failed attempt that comes in after its task has moved reaches its home
    Given a cell with 1 workers of 8 cores
    And a task moved here whose last attempt is silent until its lease expires
    When the task moves on and the failure of that attempt comes in
    Then its failure is reported to the home cell
    When the home cell has confirmed it and another task moves here
    Then the failure of the other task is reported to the home cell

  # Guards against TWICE: a start that a restarted worker carries out late extends the
  # lease of all its runs, as its deadline is by the clock of before the restart.
  Scenario: A start without an answer may extend the lease of a restarted worker
    Given a start order to a worker that has just restarted after 600 s, not answered
    And another task that runs on the worker since its restart
    When the worker falls silent for 17 seconds
    Then the other task isn't started a second time
    When the worker falls silent for 3 seconds
    Then the other task is started on the other worker

  # Guards against LOST: a worker that restarts often kept its tasks waiting although no
  # late start could extend its lease any more.
  Scenario: A start without an answer extends no lease beyond its own deadline
    Given a start order to a worker that has just restarted after 4 s, not answered
    And another task that runs on the worker since its restart
    When the worker falls silent for 6 seconds
    Then the other task isn't started a second time
    When the worker falls silent for 5 seconds
    Then the other task is started on the other worker

  # Guards against TWICE: a row that couldn't be read was left out, so its run counted as
  # lost, or its end was acknowledged with the next one and never counted.
  Scenario Outline: A task isn't started again while its worker lists <what> that can't be read
    Given a running task
    When its worker lists <what> that can't be read instead of it, and ends after it
    Then the task isn't started again within 3 s
    And <n> ends of the worker may be acknowledged

    Examples:
      | what   | n |
      | an end | 0 |
      | a run  | 2 |

  # Guards against TWICE (issue 58): the next owner renewed the leases of a worker that
  # listed a run that can't be read, and started its task elsewhere once the leases of the
  # earlier owner would have ended.
  Scenario: A task isn't started again after a takeover while a run that can't be read goes on
    Given a cell taken over while "w0" runs a task
    When "w0" lists a run that can't be read instead of the task
    Then the task isn't started again within 15 s
