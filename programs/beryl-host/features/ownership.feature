Feature: Cells that change hands while their owner leaves
  In memory: one cell driver on a store that answers when the scenario says so.

  Scenario: A host that leaves while it takes a cell keeps the recorded workers
    Given a cell with recorded workers "w1 w2"
    When a host takes the cell with 18 seconds unsettled and leaves before it has read it
    Then the cell's recorded workers are still "w1 w2"
    And the cell was given up with at least 17 seconds unsettled

  Scenario: Holds that end with a cell forget none of its workers
    Given a cell with recorded workers "w1 w2"
    When a host takes the cell with 6 seconds unsettled and leaves after it has read it
    Then the cell's recorded workers are still "w1 w2"

  Scenario: A host that was told of its successor before it began doesn't begin
    Given a cell with recorded workers "w1 w2"
    When a host is told of its successor while it takes the cell
    Then it drives no cell

  Scenario: More progress than one transaction holds is recorded in several
    Given a cell with recorded workers "w1 w2"
    When the progress of 120 submissions is recorded
    Then all 120 are recorded after at most 3 transactions

  Scenario: A backlog of changes after an outage is read as rows
    Given a cell with recorded workers "w1 w2"
    When a follower that reads anew misses 30 versions of a row in an outage
    Then it was given the newest version alone

  Scenario: Cells go to the hosts with most processor power
    Given a host with a power of 2.1 and 3 hosts with a power of 0.5
    When 5 cells have no owner
    Then the strong host takes 4 of them

  Scenario Outline: A cell whose data centre has no live host
    Given a cell with recorded workers "w1 w2" that was <left>
    When a host of another data centre is free to take it for <seconds> s
    Then it has <taken> the cell

    Examples:
      | left     | seconds | taken     |
      | released | 0.6     | taken     |
      | lost     | 0.6     | not taken |
      | lost     | 2.0     | taken     |

  Scenario: A cell that was taken by a commit without an answer is driven
    Given a cell with recorded workers "w1 w2" that was released
    When a host takes it and the answer to its commit is lost
    Then it has taken the cell
