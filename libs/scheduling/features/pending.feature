Feature: Submissions that wait for their first run
  The number of pending submissions that clients read holds each submission of which no task
  has begun.

  # Guards against MIXED: a submission counted as begun from its first start order, so those
  # whose workers were cut off or full were missing until their tasks ran.
  Scenario Outline: A submission whose start <outcome> is <pending> pending after <seconds> s
    Given a cell with 1 workers of 8 cores
    When the start of a submission's only task <outcome>
    And the worker stays out of touch for <seconds> s
    Then <pending> submissions are pending

    Examples:
      | outcome                          | seconds | pending |
      | isn't answered                   | 6       | 1       |
      | isn't sent                       | 6       | 1       |
      | is refused for lack of room      | 6       | 1       |
      | is accepted                      | 6       | 0       |
      | isn't answered, but reported     | 6       | 0       |
      | is accepted and the run fails    | 0       | 0       |

  Scenario: A submission whose run was told counts as begun though its worker has crashed
    Given a cell with 1 workers of 8 cores
    When the start of a submission's only task is accepted
    And the list names the worker's restart
    Then 0 submissions are pending

  Scenario Outline: An inherited submission <progress> is <pending> pending
    Given a cell with 1 workers of 8 cores
    When a submission <progress> is inherited
    Then <pending> submissions are pending

    Examples:
      | progress                    | pending |
      | without progress            | 1       |
      | of which a task is done     | 0       |
      | of which a task has failed  | 0       |
