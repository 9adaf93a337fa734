Feature: Maintenance waves by real host processes
  Two data centres with a host and two workers each, a machine for each worker, against
  the stand-in platform, whose machines are down for 1 s and whose workers return under
  another id.

  # Guards against two machines that are down at once, against two holders of a machine,
  # against a wave that is reported as done too early or never, and against accepted
  # work that is lost with a machine.
  Scenario Outline: A wave of all machines, one at a time, while <fault>
    Given a host and two workers in each of the data centres "dc-1" and "dc-2"
    And a submission is sent every 0.25 s
    When tasks have started on "w0 w1 w2 w3"
    And the operator requests wave 1 of all machines, one at a time, within 40 s
    And <fault>
    Then the wave is done within <limit> s, and not before all machines have begun
    And never more than one machine was down, and each was called for by one holder
    And the logs of the hosts tell the steps of the wave
    And tasks start on "w0-1 w1-1 w2-1 w3-1"
    And the hosts read no list of machines after the wave
    And every accepted submission ends, and no task ran twice at a time

    Examples:
      | fault                                     | limit |
      | an answer of the machine service is lost  | 40    |
      | the host of "dc-2" is killed              | 60    |
