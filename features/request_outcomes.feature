Feature: Outcomes of requests under failure
  Every caller gets the whole answer to its own request or an honest refusal.

  Scenario: A key claimed by a killed host is never sent again
    Given a fleet whose upstreams take 1500 ms
    And the service cards is in force everywhere
    When an order with key "k-1" is sent through host 1 and host 1 is killed meanwhile
    And the order with key "k-1" is sent again through host 2
    Then the second answer says unknown with code in-progress
    And the order "k-1" ran at most once

  Scenario: A frozen host does not send an order after its deadline
    Given a fleet of 2 hosts and 4 workers in one data centre
    And the service cards is in force everywhere
    When the platform delays its answers by 400 ms
    And an order with key "k-2" is sent through host 1 which freezes for 3 s in its claim
    And the platform is well again
    And the order with key "k-2" is sent again through host 2 until it is answered
    Then the order "k-2" ran at most once
    And the order "k-2" was answered whole in the end

  Scenario: An order whose claim lost its answer runs once
    Given a fleet of 2 hosts and 4 workers in one data centre
    And the service cards is in force everywhere
    When the platform loses the next 1 answers to writes after they took effect
    And the order with key "k-3" is sent again through host 1 until it is answered
    And the order with key "k-3" is sent again through host 2
    Then the second answer is the first one replayed
    And the order "k-3" ran at most once

  Scenario: With the table out, keyed orders are refused as not run and renders served
    Given a fleet of 2 hosts and 4 workers in one data centre
    And the service cards is in force everywhere
    When the platform is down
    Then an order with key "k-4" is refused as not run with code key-store-unavailable
    And a render is still answered whole
    And the order "k-4" ran at most 0 times
    When the platform is well again
    And the order with key "k-4" is sent again through host 2 until it is answered
    Then the order "k-4" ran at most once
    And the order "k-4" was answered whole in the end

  Scenario: With the table swallowing requests, a keyed order is refused by its deadline
    Given a fleet of 2 hosts and 4 workers in one data centre
    And the service cards is in force everywhere
    When the platform swallows requests
    Then an order with key "k-5" is refused as not run with code key-store-unavailable
    And a render is still answered whole
    When the platform is well again
    And the order with key "k-5" is sent again through host 2 until it is answered
    Then the order "k-5" ran at most once

  Scenario: A lost answer to an order without a key is called unknown
    Given a fleet of 2 hosts and 4 workers in one data centre
    And the service cards is in force everywhere
    When every upstream runs requests but loses the answers
    Then an order without a key ends as unknown
    And no request ran twice

  Scenario: Renders go round a worker that fails everything
    Given a fleet of 2 hosts and 4 workers in one data centre
    And the service cards is in force everywhere
    When worker 1 fails everything
    And 60 renders are sent through every host
    Then every render is answered with status 200

  Scenario: Retries wait for a place like first attempts
    Given a fleet of 2 hosts and 4 workers in one data centre
    And the service cards is in force everywhere
    When worker 1 is leaving
    And 60 renders are sent at once through every host
    Then every render is answered with status 200

  Scenario: A render that failed whole is never called not run
    Given a fleet of 2 hosts and 4 workers in one data centre
    And the service cards is in force everywhere
    When every upstream fails everything
    And 60 renders are sent at once through every host
    Then none that was refused as not run had run

  Scenario: A key used for other content is refused
    Given a fleet of 2 hosts and 4 workers in one data centre
    And the service cards is in force everywhere
    When the order with key "k-6" is sent again through host 1 until it is answered
    Then an order with key "k-6" and other content is refused with code key-mismatch

  Scenario: Late answers never reach another caller
    Given a fleet whose upstreams take 300 ms
    And the service cards is in force everywhere
    When 40 renders with deadlines around the service time are sent through every host
    Then every answer that came is its caller's own
    And every other caller was told unknown or not run

  Scenario: A leaving upstream gets nothing new although the list lags
    Given a fleet of 2 hosts and 4 workers in one data centre
    And the service cards is in force everywhere
    When worker 1 is leaving
    And 40 renders are sent through every host
    And I wait 2 s
    And 40 renders are sent through every host
    Then every render is answered with status 200
    And worker 1 was sent none of the last 40 renders

  Scenario: A graceful stop under load cuts nothing off
    Given a fleet whose upstreams take 100 ms
    And the service cards is in force everywhere
    When host 1 is stopped while 60 renders are in flight through it
    Then every render sent before its balancer was told is answered whole
    And the entry of host 1 exited with status 0
