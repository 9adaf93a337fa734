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
