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

  # Guards against LOST: a home cell without any worker that has the label of the first step.
  Scenario Outline: The home of a step that needs <need> is a cell that can hold it
    Given a cell "r1" with 64 free cores on workers of kind "a" with 1000 MB
    And a cell "r2" with 16 free cores on workers of kind "b" with 8000 MB
    When a host that <draws> chooses the home of a <kind> step that needs <need>
    Then the home is "<home>"

    Examples:
      | draws         | kind     | need         | home |
      | draws homes   | ordinary | nothing else | r1   |
      | draws homes   | ordinary | label b      | r2   |
      | draws homes   | ordinary | 4000 MB      | r2   |
      | draws homes   | filler   | label b      | r2   |
      | draws homes   | filler   | 4000 MB      | r2   |
      | draws homes   | serving  | label b      | r2   |
      | draws no home | ordinary | label b      | r2   |
      | draws no home | filler   | 4000 MB      | r2   |
      | draws no home | serving  | 4000 MB      | r2   |
