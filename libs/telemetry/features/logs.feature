Feature: Logging never blocks the process

  Scenario: Lines are dropped when nobody reads the pipe
    Given a pipe that nobody reads
    When 5000 lines are logged to it
    Then logging did not block and the dropped lines were counted

  Scenario: Logging is limited to a number of lines per second
    Given a pipe that is read afterwards
    When 2000 lines are logged to it with a limit of 100 per second
    Then at most 300 lines were written
