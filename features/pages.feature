Feature: Pages match their data
  Scenario: docs/CAPACITY.md matches the slopes that it is computed from
    When the capacity page is recomputed
    Then the page does not change
