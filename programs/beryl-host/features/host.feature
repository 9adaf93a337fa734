Feature: Hosts on the users' platform
  Real host processes against a stand-in that speaks the platform's protocol.

  Scenario: Submissions run to their end, once, whichever host is asked
    Given 2 hosts on the platform's stand-in with 3 workers
    When 6 submissions are handed in at different hosts
    And the same submissions are handed in again at other hosts
    Then every submission is shown as done by every host
    And 30 tasks have ended as done and none ran twice

  Scenario Outline: The owner of the cell is ended by <signal>
    Given 2 hosts on the platform's stand-in with 3 workers
    When 6 submissions are handed in at different hosts
    And the owner of the cell is ended by <signal>
    Then every submission is shown as done by every host
    And 30 tasks have ended as done and none ran twice

    Examples:
      | signal  |
      | SIGKILL |
      | SIGTERM |

  Scenario: A cancelled submission stops
    Given 2 hosts on the platform's stand-in with 3 workers
    When a submission that lasts for minutes is handed in
    And it is cancelled at another host
    Then nothing runs any more
    And every submission is shown as canceled by every host

  Scenario: Bad requests get a clear answer and nothing stops
    Given 1 hosts on the platform's stand-in with 1 workers
    Then bad requests get these answers
      | method | target                   | body                       | status |
      | POST   | /proofs/0123456789abcdef | {"steps":                  | 400    |
      | POST   | /proofs/0123456789abcdef | {"steps":[{"count":0}]}    | 400    |
      | POST   | /proofs/0123456789abcdef | {"steps":[{"count":"x"}]}  | 400    |
      | POST   | /proofs/nothex           | {"steps":[{"count":1}]}    | 400    |
      | GET    | /proofs/0123456789abcdef |                            | 410    |
      | DELETE | /proofs/0123456789abcdef |                            | 410    |
      | GET    | /elsewhere/              |                            | 404    |
      | PUT    | /proofs/0123456789abcdef |                            | 404    |
      | GET    | /proofs/                 |                            | 200    |

  Scenario: Work goes on while the store is silent
    Given 2 hosts on the platform's stand-in with 3 workers
    When 6 submissions are handed in at different hosts
    And the store is silent for 4 seconds
    Then every submission is shown as done by every host
    And 30 tasks have ended as done and none ran twice

  Scenario Outline: A submission while the store is <mode> is answered <status>
    Given 2 hosts on the platform's stand-in with 3 workers
    When a submission is handed in while the store is <mode> for 1 seconds
    Then it was answered with <status>
    And handing it in again runs it once

    Examples:
      | mode   | status |
      | busy   | 503    |
      | silent | 504    |
      | lost   | 504    |

  Scenario: The store forgets its history
    Given 2 hosts on the platform's stand-in with 3 workers
    When the store forgets its history
    And 6 submissions are handed in at different hosts
    Then every submission is shown as done by every host
    And 30 tasks have ended as done and none ran twice

  Scenario: A draining worker gets nothing new
    Given 1 hosts on the platform's stand-in with 2 workers
    When worker "w0" drains
    And 6 submissions are handed in at different hosts
    Then every submission is shown as done by every host
    And nothing is started on worker "w0" any more

  Scenario: SIGHUP reloads and ends nothing
    Given 2 hosts on the platform's stand-in with 1 workers
    When every host gets SIGHUP
    Then every host runs on and has logged the reload

  Scenario: An unreadable configuration is kept out, a newer one comes into force
    Given 2 hosts on the platform's stand-in with 1 workers
    When the operator writes what can't be read, then version 9 with no routes
    Then the queue is gone at every host
