Feature: Logs never hold a process up

  Scenario: A reader that stops reading costs lines, not time
    Given a pipe that nobody reads
    When 5000 lines are logged to it
    Then the process went on and counted the lines that were dropped

  Scenario: A flood is bounded
    Given a pipe that is read afterwards
    When 2000 lines are logged to it with a bound of 100 a second
    Then at most 300 lines were written
