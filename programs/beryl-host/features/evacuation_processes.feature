Feature: Evacuation of a data centre by real host processes
  Two data centres with a host and a worker each, against the stand-in platform.

  # Guards against starts in an evacuated data centre, against a withdrawal after which
  # nothing starts there, and against an acceptance that nobody may serve.
  Scenario: Starts in an evacuated data centre stop, and return after the withdrawal
    Given a host and a worker in each of the data centres "dc-1" and "dc-2"
    And a submission is sent every 0.25 s
    When tasks have started on "w0 w1"
    And the operator evacuates "dc-2"
    Then every host logs within 1.5 s that the evacuation of "dc-2" was requested
    And from 5.0 s after the request on no task starts on "w1" for 2.0 s
    And tasks start on "w0"
    And the host of "dc-2" serves the metrics of its evacuation
    When the operator evacuates "dc-1"
    Then every host logs within 1.5 s that the evacuation of "dc-1" was requested
    And a submission is answered 503 at once
    When the evacuation of "dc-1 dc-2" is withdrawn
    Then tasks start on "w0 w1"
    And every accepted submission ends, and no task ran twice at a time

  # Guards against starts by a host that the store refuses while it serves others.
  Scenario: A host that the store refuses stops its starts
    Given a host and a worker in each of the data centres "dc-1" and "dc-2"
    And a submission is sent every 0.25 s
    When tasks have started on "w0 w1"
    And the store refuses the host of "dc-2"
    And the operator evacuates "dc-2"
    Then the host of "dc-2" logs within 5.0 s that another host told it so
    And from 5.0 s after the request on no task starts on "w1" for 2.0 s
    When the evacuation of "dc-2" is withdrawn
    And the store serves the host of "dc-2" again
    Then tasks start on "w0 w1"
    And every accepted submission ends, and no task ran twice at a time
