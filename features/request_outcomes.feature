Feature: Request outcomes during failures
  Every caller gets the complete answer to its own request, or an outcome that
  says correctly whether it may have run.

  Scenario: A key claimed by a killed host is never sent again
    Given a fleet whose upstreams take 1500 ms
    And the service cards is in force everywhere
    When an order with key "k-1" is sent through host 1 which is killed before it answers
    And the order with key "k-1" is sent again through host 2
    Then the second answer has the outcome unknown and code in-progress
    And the order "k-1" ran at most once

  Scenario: A frozen host does not send an order after its deadline
    Given a fleet of 2 hosts and 4 workers in one data centre
    And the service cards is in force everywhere
    When the platform delays its answers by 400 ms
    And an order with key "k-2" is sent through host 1 which freezes for 3 s while claiming the key
    And the platform has recovered
    And the order with key "k-2" is sent again through host 2 until it is answered
    Then the order "k-2" ran at most once
    And the order "k-2" was answered completely in the end

  Scenario: An order runs once when the answer to its key claim is lost
    Given a fleet of 2 hosts and 4 workers in one data centre
    And the service cards is in force everywhere
    When the platform loses the next 1 answers to writes after they took effect
    And the order with key "k-3" is sent again through host 1 until it is answered
    And the order with key "k-3" is sent again through host 2
    Then the second answer replays the first answer
    And the order "k-3" ran at most once

  Scenario: While the table is down, keyed orders are refused and renders are answered
    Given a fleet of 2 hosts and 4 workers in one data centre
    And the service cards is in force everywhere
    When the platform is down
    Then an order with key "k-4" is refused as not run with code key-store-unavailable
    And a render is still answered completely
    And the order "k-4" ran at most 0 times
    When the platform has recovered
    And the order with key "k-4" is sent again through host 2 until it is answered
    Then the order "k-4" ran at most once
    And the order "k-4" was answered completely in the end

  Scenario: A keyed order is refused by its deadline while the table is unresponsive
    Given a fleet of 2 hosts and 4 workers in one data centre
    And the service cards is in force everywhere
    When the platform leaves requests unanswered
    Then an order with key "k-5" is refused as not run with code key-store-unavailable
    And a render is still answered completely
    When the platform has recovered
    And the order with key "k-5" is sent again through host 2 until it is answered
    Then the order "k-5" ran at most once

  Scenario: A lost answer to an order without a key is reported as unknown
    Given a fleet of 2 hosts and 4 workers in one data centre
    And the service cards is in force everywhere
    When every upstream runs requests but loses the answers
    Then an order without a key gets the outcome unknown
    And no request ran twice

  Scenario: Renders are routed away from a worker that fails all requests
    Given a fleet of 2 hosts and 4 workers in one data centre
    And the service cards is in force everywhere
    When worker 1 fails all requests
    And 60 renders are sent through every host
    Then every render is answered with status 200

  Scenario: Retries wait for admission like first attempts
    Given a fleet of 2 hosts and 4 workers in one data centre
    And the service cards is in force everywhere
    When worker 1 is leaving
    And 60 renders are sent at once through every host
    Then every render is answered with status 200

  Scenario: A render that ran and failed is never reported as not run
    Given a fleet of 2 hosts and 4 workers in one data centre
    And the service cards is in force everywhere
    When every upstream fails all requests
    And 60 renders are sent at once through every host
    Then no render that was refused as not run had run

  Scenario: A key used for other content is refused
    Given a fleet of 2 hosts and 4 workers in one data centre
    And the service cards is in force everywhere
    When the order with key "k-6" is sent again through host 1 until it is answered
    Then an order with key "k-6" and other content is refused with code key-mismatch

  Scenario: Late answers never reach another caller
    Given a fleet whose upstreams take 300 ms
    And the service cards is in force everywhere
    When 40 renders with deadlines around the service time are sent through every host
    Then every received answer is for its caller's own request
    And every other caller got the outcome unknown or not run

  Scenario: A leaving upstream gets no new requests while the platform's list lags
    Given a fleet of 2 hosts and 4 workers in one data centre
    And the service cards is in force everywhere
    When worker 1 is leaving
    And 40 renders are sent through every host
    And I wait 2 s
    And 40 renders are sent through every host
    Then every render is answered with status 200
    And worker 1 was sent none of the last 40 renders

  Scenario: A graceful stop under load interrupts no request
    Given a fleet whose upstreams take 100 ms
    And the service cards is in force everywhere
    When host 1 is stopped while 60 renders are in flight through it
    Then every render sent while host 1 was ready is answered completely
    And the entry of host 1 exited with status 0
