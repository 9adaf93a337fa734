Feature: Queues with an advice policy
  Only workers that the advice service has given a ticket for may run their steps.

  Scenario: Tasks start only after the advice and only on advised workers
    Given a cell with 3 workers of 8 cores
    When a submission of 2 tasks of an advised queue is added
    Then all 3 workers are in one advice request
    And no task has been started
    When the advice names "w1" with the ticket "t-1"
    Then all 2 tasks are started on "w1" with the ticket "t-1"

  Scenario: An expired ticket is requested again
    Given a cell with 1 workers of 8 cores
    When a submission of 2 tasks of an advised queue is added
    And the advice names "w0", which is full for 6 seconds, with the ticket "t-1"
    Then a ticket for the worker is requested again

  Scenario: A rejected ticket is requested again
    Given a cell with 1 workers of 8 cores
    When a submission of 1 tasks of an advised queue is added
    And the advice names "w0" with the ticket "t-1"
    And the worker rejects the ticket
    Then a ticket for the worker is requested again
