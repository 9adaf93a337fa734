Feature: What hosts have learnt of pairs of images reaches the other data centres

  Scenario Outline: With <n> cells a change reaches other centres after <seconds> s
    Given the first host of a data centre in a system of <n> cells
    When it learns something new every second for 12 s
    Then its data centre's sum was written <times> times

    Examples:
      | n  | seconds | times |
      | 3  | 1       | 12    |
      | 24 | 3       | 4     |
