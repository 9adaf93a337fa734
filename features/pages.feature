Feature: Pages agree with their data
  Scenario: docs/CAPACITY.md is what its slopes give
    When the capacity page is recomputed
    Then it does not differ
