Feature: A cell's owner under every trouble of the network
  Owners decide with the real code, in logical time, over workers, a store and a network
  that are simulated: orders lost, carried out late or answered to nobody, workers that
  crash, owners that die or are cut off and go on.

  Scenario: No promise is broken and all work ends
    When 60 histories of 40 seconds with 1 cells are played from seed 1
    Then no task ran twice, early, or beyond its attempts
    And no end was acknowledged before it was recorded
    And every submission has ended in every history

  Scenario: Tasks that move between cells keep every promise
    When 60 histories of 40 seconds with 2 cells are played from seed 1
    Then tasks were moved between cells
    And no task ran twice, early, or beyond its attempts
    And no end was acknowledged before it was recorded
    And every submission has ended in every history

  Scenario Outline: Without <mechanism> a promise is broken
    When histories are played without "<mechanism>" until one breaks
    Then a broken promise was found

    Examples:
      | mechanism                 |
      | wait for an earlier owner |
      | recorded workers          |
      | condition on the owner    |
