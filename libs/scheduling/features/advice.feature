Feature: Queues whose steps only advised workers may run

  Scenario: Nothing starts before the advice, and then on advised workers alone
    Given a cell with 3 workers of 8 cores
    When a submission of 2 tasks of an advised queue is handed in
    Then all 3 workers are asked for in one request
    And nothing has been started
    When the advice names "w1" with the ticket "t-1"
    Then all 2 tasks are started on "w1" with the ticket "t-1"

  Scenario: A ticket that has run out is asked for again
    Given a cell with 1 workers of 8 cores
    When a submission of 2 tasks of an advised queue is handed in
    And the advice names "w0" with the ticket "t-1" and 6 seconds pass without room
    Then the worker is asked for again

  Scenario: A refused ticket is asked for again
    Given a cell with 1 workers of 8 cores
    When a submission of 1 tasks of an advised queue is handed in
    And the advice names "w0" with the ticket "t-1"
    And the worker refuses the ticket
    Then the worker is asked for again
