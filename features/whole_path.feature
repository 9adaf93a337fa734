Feature: The whole path, through real processes
  One request and one batch task go from door to answer.

  Scenario: A request is answered whole through every entry host
    Given a fleet of 2 hosts and 4 workers in one data centre
    And the service cards is in force everywhere
    When a render is sent through every host
    Then every answer is whole and its caller's own
    And the trace of the last request has a span for each hop

  Scenario: A batch job runs to its end and explains itself
    Given a fleet of 2 hosts and 4 workers in one data centre
    And the service cards is in force everywhere
    When a job "season" of 20 tasks of 2 cores running 0.5 s is applied
    Then the job "season" finishes all 20 tasks
    And no task ran in two places at once
    And berylctl explains the job "season" and its first task
    And the trace of the job has spans of planner and worker

  Scenario: Bad input gets a typed error that names the remedy
    Given a fleet of 2 hosts and 4 workers in one data centre
    And the service cards is in force everywhere
    Then an unknown service answers 404 as not run with code no-such-service
    And an oversize body answers 413 as not run
    And a malformed request answers 400 as not run
    And a caller that never ends its request gets 408 as not run
    And a second entry on the same port exits 2 saying port-in-use
    And settings with an unknown key exit 2 naming its place
    And settings with a wrong type exit 2 naming its place
    And a job file with an unknown key exits 2 naming its place
    And a job that no worker can hold is refused with the reason
    And berylctl against hosts that are gone exits 4 for status and for cancel

  Scenario: A caller that leaves early harms nobody
    Given a fleet whose upstreams take 300 ms
    And the service cards is in force everywhere
    When 10 callers leave before their answer
    And a render is sent through every host
    Then every answer is whole and its caller's own
