Feature: Home cells of submissions that many hosts accept at once
  All hosts know the same loads, 2 s old.

  # Guards against a herd: all new work of 2 s in the cell that last reported the most
  # headroom, while others could start it at once.
  Scenario: 37 hosts accept submissions on the same old loads
    Given 22 cells with headroom for 30 to 60 tasks each
    When 37 hosts accept 16 submissions of 30 tasks before the next loads
    Then taking the most headroom leaves more than 300 of the 480 tasks waiting
    And drawing leaves at most a quarter of those

  # Guards against work in a cell that can't hold it while another one can.
  Scenario: Only cells that can hold a step are drawn
    Given 22 cells with headroom for 30 to 60 tasks each
    Then a step of 50 tasks is drawn only to cells that can hold it
    And a step of 80 tasks is drawn only to cells with at least half of the most headroom
    And no cell is drawn where there is no headroom
