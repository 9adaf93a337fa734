Feature: Requests and batch jobs through all processes
  One request and one batch job pass through every process from start to end.

  Scenario: Every entry host answers a request completely
    Given a fleet of 2 hosts and 4 workers in one data centre
    And the service cards is in force everywhere
    When a render is sent through every host
    Then every answer is complete and for its caller's own request
    And the trace of the last request has a span for each hop

  Scenario: A batch job finishes and its decisions can be explained
    Given a fleet of 2 hosts and 4 workers in one data centre
    And the service cards is in force everywhere
    When a job "season" of 20 tasks of 2 cores running 0.5 s is applied
    Then the job "season" finishes all 20 tasks
    And no two attempts of a task overlapped
    And berylctl explains the job "season" and its first task
    And the trace of the job has spans of planner and worker

  Scenario: Bad input gets a typed error that names the remedy
    Given a fleet of 2 hosts and 4 workers in one data centre
    And the service cards is in force everywhere
    Then an unknown service answers 404 as not run with code no-such-service
    And an oversize body answers 413 as not run
    And a malformed request answers 400 as not run
    And a caller that never completes its request gets 408 as not run
    And a second entry on the same port exits 2 with code port-in-use
    And settings with an unknown key exit 2 naming its location
    And settings with a wrong type exit 2 naming its location
    And a job file with an unknown key exits 2 naming its location
    And a job that fits on no worker is refused with the reason
    And berylctl without reachable hosts exits 4 for status and for cancel

  Scenario: A caller that disconnects early affects no other caller
    Given a fleet whose upstreams take 300 ms
    And the service cards is in force everywhere
    When 10 callers disconnect before their answer
    And a render is sent through every host
    Then every answer is complete and for its caller's own request
