Feature: Submissions of cells whose tables are shared
  A table holds the submissions of several cells; a host follows those of its cells.

  # Guards against LOST and TWICE: an owner that knows neither a submission nor its runs.
  Scenario: A cell acquired later finds its submissions in a table that is followed already
    Given a submission each in two cells of one table and in a cell of another table
    And a host that follows the first cell and the one of the other table
    When it loses the cell of the other table
    And it acquires the second cell
    Then it knows the submissions of the first and the second cell
    And it has forgotten the submission of the other table

  # Guards against LOST: the rows that came with one that can't be applied were lost too.
  Scenario: Submissions that come with one that can't be applied are known
    Given a submission each in two cells of one table and in a cell of another table
    When a host that follows the first cell can't apply its submission
    Then it has applied the submission of the second cell
