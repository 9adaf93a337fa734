Feature: A report whose processing fails half-way tells nothing of a worker
  An unexpected exception ends the processing of a report. As the hold loop of a host
  does, the owner then counts the hold as failed and probes the worker again.

  # Guards against TWICE (issue 58): the worker counted as known although the runs listed
  # after the failing row weren't, so that nothing waited for them any more.
  Scenario Outline: A task listed after <what> whose processing fails <n> times isn't started again
    Given a cell taken over from an owner whose worker "w0" runs a task
    When the reports of "w0" fail <n> times at <what> listed before the task
    Then the task isn't started again within 3 s

    Examples:
      | what   | n  |
      | a run  | 1  |
      | a run  | 20 |
      | an end | 1  |
      | an end | 20 |

  # Guards against TWICE (issue 58): a failed report forgot the runs of submissions that
  # the owner hasn't received yet, which an earlier report had listed.
  Scenario: A task whose submission comes after a failed report isn't started again
    Given a cell taken over from an owner whose worker "w0" runs a task of an unknown submission
    When the reports of "w0" fail 1 times at a run listed before the task
    And the submission of the task is received before the next report
    Then the task isn't started again within 3 s

  # Guards against LOST (issue 58): each failing answer prolonged the wait for the runs of
  # its worker, although no hold renewed their leases any more, so that the inherited tasks
  # of the whole cell waited as long as its reports failed.
  Scenario: A task starts again although the reports of a worker fail each time
    Given a cell taken over from an owner whose worker "w0" runs a task
    When the reports of "w0" fail 200 times at a run listed before the task
    Then the task has started on another worker

  # Guards against LOST (issue 58): the failed processing of an end had removed the run and
  # not enqueued its task again, and the next report found no run to remove.
  Scenario: A task whose end fails to be processed once starts again
    Given a running task
    When its run lapses, and the processing of this end fails once
    Then the task starts again within 10 s

  # Guards against LOST (issue 58): a worker that lists all of its runs and 500 ends that
  # can't be recorded (KNOWN-RED 41) counted as one with runs that aren't known.
  Scenario: A task starts again although a report is full of ends
    Given a cell taken over from an owner that ran a task on no worker
    When "w0" reports 500 ends that aren't acknowledged for 40 s, and its leases are renewed
    Then the task has started

  # Guards against TWICE (issue 58): with leases that are renewed as a hold loop does it, a
  # run that can't be read goes on for longer than the leases of the earlier owner.
  Scenario: A task isn't started again while the leases of a run that can't be read are renewed
    Given a cell taken over while "w0" runs a task
    When "w0" lists a run that can't be read for 30 s, and its leases are renewed
    Then the task hasn't started
