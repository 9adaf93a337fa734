Feature: What hosts have learnt of pairs of images reaches the other data centres

  Scenario Outline: With <n> cells a change reaches other centres after <seconds> s
    Given the first host of a data centre in a system of <n> cells
    When it learns something new every second for 12 s
    Then its data centre's sum was written <times> times

    Examples:
      | n  | seconds | times |
      | 3  | 1       | 12    |
      | 24 | 3       | 4     |

  Scenario: A sum whose write failed is written again
    Given the first host of a data centre in a system of 3 cells
    When it learns a pair and the write fails
    And the next write, without a sum, is stored
    Then the sum is among the rows due 2 s later

  Scenario: Other hosts of the data centre learn that a pair is neutral again
    Given the first host of a data centre in a system of 3 cells
    When it has published a pair and then unlearnt it
    Then the pair is among the rows due 2 s later with log odds 0
