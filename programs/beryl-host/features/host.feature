Feature: Host processes on the platform
  Real host processes run against a stand-in that implements the platform's protocol.

  Scenario: Submissions run exactly once and every host reports them as done
    Given 2 hosts on the stand-in platform with 3 workers
    When 6 submissions are sent to different hosts
    And the same submissions are sent again to other hosts
    Then every host reports every submission as done
    And 30 tasks are done and none ran twice

  Scenario Outline: Submissions finish after the cell's owner gets <signal>
    Given 2 hosts on the stand-in platform with 3 workers
    When 6 submissions are sent to different hosts
    And the owner of the cell gets <signal>
    Then every host reports every submission as done
    And 30 tasks are done and none ran twice

    Examples:
      | signal  |
      | SIGKILL |
      | SIGTERM |

  Scenario: Cancelling a submission stops its tasks
    Given 2 hosts on the stand-in platform with 3 workers
    When a submission that runs for minutes is sent
    And it is cancelled at another host
    Then no task is running
    And every host reports every submission as canceled

  Scenario: Invalid requests get an error status and the host keeps serving
    Given 1 hosts on the stand-in platform with 1 workers
    Then invalid requests get these statuses
      | method | target                   | body                       | status |
      | POST   | /proofs/0123456789abcdef | {"steps":                  | 400    |
      | POST   | /proofs/0123456789abcdef | {"steps":[{"count":0}]}    | 400    |
      | POST   | /proofs/0123456789abcdef | {"steps":[{"count":"x"}]}  | 400    |
      | POST   | /proofs/nothex           | {"steps":[{"count":1}]}    | 400    |
      | GET    | /proofs/0123456789abcdef |                            | 410    |
      | GET    | /proofs/nothex           |                            | 410    |
      | GET    | /proofs/0123456789abcdeg |                            | 410    |
      | DELETE | /proofs/nothex           |                            | 410    |
      | POST   | /proofs/0123456789abcdef | {"x":3,"steps":[{"count":1000000000000}]} | 400 |
      | DELETE | /proofs/0123456789abcdef |                            | 410    |
      | GET    | /elsewhere/              |                            | 404    |
      | PUT    | /proofs/0123456789abcdef |                            | 404    |
      | GET    | /proofs/                 |                            | 200    |

  Scenario: Submissions finish after a store outage without answers
    Given 2 hosts on the stand-in platform with 3 workers
    When 6 submissions are sent to different hosts
    And the store is silent for 4 seconds
    Then every host reports every submission as done
    And 30 tasks are done and none ran twice

  Scenario Outline: A submission while the store is <mode> gets status <status>
    Given 2 hosts on the stand-in platform with 3 workers
    When a submission is sent while the store is <mode> for 1 seconds
    Then the response has status <status>
    And sending it again runs it once

    Examples:
      | mode   | status |
      | busy   | 503    |
      | silent | 504    |
      | lost   | 504    |

  Scenario: Hosts recover when the store drops its change history
    Given 2 hosts on the stand-in platform with 3 workers
    When the store drops its change history
    And 6 submissions are sent to different hosts
    Then every host reports every submission as done
    And 30 tasks are done and none ran twice

  Scenario: A draining worker gets no new tasks
    Given 1 hosts on the stand-in platform with 2 workers
    When worker "w0" drains
    And 6 submissions are sent to different hosts
    Then every host reports every submission as done
    And no task is started on the drained worker "w0"

  Scenario: SIGHUP reloads the settings without stopping the host
    Given 2 hosts on the stand-in platform with 1 workers
    When every host gets SIGHUP
    Then every host is still running and has logged the reload

  Scenario: An invalid configuration is ignored and a newer valid one is applied
    Given 2 hosts on the stand-in platform with 1 workers
    When the operator writes an invalid configuration, then version 9 without routes
    Then no host serves the queue
