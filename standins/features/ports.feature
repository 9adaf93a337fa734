Feature: Ports of tests that run beside each other

  Scenario: Processes that run at the same time get different ports
    When 4 processes take 250 ports each at the same time
    Then no port was taken twice
