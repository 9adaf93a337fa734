Feature: Many configurations in quick succession behind a slow link
  One version takes longer to arrive than the next one takes to be written.

  Scenario: A host behind a slow link has the newest version in time
    Given a row that takes 0.4 s to arrive over the link of a host
    When it changes 20 times, every 0.1 s
    Then the host has the newest version at most 1.0 s after the last change

  Scenario: An unchanged row costs the host one small call after each change
    Given a row that takes 0.1 s to arrive over the link of a host
    When it changes 1 times, every 0.1 s
    Then the host has the newest version at most 1.0 s after the last change
    And the row arrived twice: at the start and after the change
