Feature: Cost of a planning round
  A cell of 24 full workers plans after each event. Costs are counted operations.

  # Guards against hosts whose processor is full at hundreds of waiting submissions: each
  # round summed the runs of every worker anew for each waiting step.
  Scenario: Runs are not summed again while none starts or ends
    Given a cell of 24 full workers where 5 steps of 40 tasks wait
    And a cell of 24 full workers where 100 steps of 40 tasks wait
    Then a planning round sums no run in either cell

  # Guards against rounds that check tasks which they don't try to start.
  Scenario: A step that fits nowhere is checked by its first tasks only
    Given a cell of 24 full workers where 20 steps of 10 tasks wait
    And a cell of 24 full workers where 20 steps of 400 tasks wait
    Then a planning round checks as many tasks in both cells

  # Guards against a sum over all workers of the service for each starving step.
  Scenario: The reserved share of a service is computed once a round
    Given a cell of 24 full workers where 20 steps of 10 tasks wait
    Then a planning round computes the reserved share at most 1 time
