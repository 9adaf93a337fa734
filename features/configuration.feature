Feature: Configuration
  An accepted version is in force everywhere within seconds and never reverts.

  Scenario: Of two concurrent changes one is accepted and the other gets a conflict
    Given a fleet of 2 hosts and 4 workers in one data centre
    And the service cards is in force everywhere
    When two operators set the priority of app=cards on the same version
    Then one is accepted and the other exits 3 naming the accepted version
    And every planner and entry has the accepted version in force

  Scenario: One selector changes every service that it matches at one version
    Given a fleet of 2 hosts and 4 workers in one data centre
    And three services of which two have the label owner=none
    When the operator retires owner=none
    Then both matching services answer 410 as not run on every host
    And the third service still answers
    And berylctl explains the service "one" by the rule

  Scenario: A host restarted during a platform outage never applies an older version
    Given a fleet of 2 hosts and 4 workers in one data centre
    And the service cards is in force everywhere
    When the operator retires owner=none and it is in force
    And the platform is down
    And the entry of host 1 is killed and restarted
    Then host 1 never answers for cards by a version older than 2

  Scenario: A host without a configuration refuses requests
    Given a fleet of 2 hosts and 4 workers in one data centre
    And the service cards is in force everywhere
    When the platform is down
    And every host is killed and the entry of host 1 is restarted
    Then host 1 refuses as not run with code configuration-unknown

  Scenario: A rule on a selector holds back queued jobs
    Given a fleet of 2 hosts and 4 workers in one data centre
    When jobs that match kind=render are retired
    And a job "parked" with label kind=render is applied
    And I wait 2 s
    Then no task of "parked" has started
    When jobs that match kind=render are restored
    Then the job "parked" finishes all 4 tasks
