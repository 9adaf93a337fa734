Feature: Admission under overload
  Two cells serve the callers of two data centres, once as before and once with refusals
  beyond three times the objective, with the same arrivals. The arrivals are multiples of
  what the cells can do.

  Scenario: Half of the clients of one data centre move to another
    Given 6 entry hosts with loads 2.0 s old
    When the data centres send 0.45 and 0.45, and 0.22 and 0.68 for 6.4 s
    Then nobody is refused and callers get the same from both

  Scenario: Demand at 1.3 times the capacity for 6 s
    When the data centres send 0.45 and 0.45, and 0.65 and 0.65 for 6.0 s
    Then nobody is refused and callers get the same from both

  Scenario Outline: Demand at <times> times the capacity for 6 s, <kind>
    Given <kind> whose runs take <slowdown> times their estimate
    When the data centres send <usual> and <usual>, and <each> and <each> for 6.0 s
    Then each refusal hits what could not be done within the limit
    And nobody is refused while cores are free
    And refused clients return in order, at a time that still serves them

    Examples:
      | times | kind           | slowdown | usual | each |
      | 2.5   | ordinary tasks | 1.0      | 0.45  | 1.25 |
      | 2.5   | fillers        | 1.0      | 0.45  | 1.25 |
      | 8     | fillers        | 2.0      | 0.22  | 2.0  |
      | 8     | ordinary tasks | 0.6      | 0.75  | 6.0  |

  Scenario: A burst of one account while others send as usual
    When the data centres send 0.45 and 0.45, and 8.0 and 0.45 for 6.0 s
    Then callers of "dc-1" are refused
    And no caller of "dc-2" is refused
    And each refusal hits what could not be done within the limit
    And nobody is refused while cores are free
    And refused clients return in order, at a time that still serves them

  Scenario: Several entry hosts that each see a part of the callers with loads 2 s old
    Given 6 entry hosts with loads 2.0 s old and callers with equal submissions
    When the data centres send 0.45 and 0.45, and 16.0 and 16.0 for 2.0 s
    Then callers of "dc-1" are refused
    And each refusal hits what could not be done within the limit
    And the hosts together admit no more between two reports than the cells can do

  Scenario: Refused clients return in the order of their refusals and not together
    Given a cell whose waiting work exceeds the limit
    When 20 submissions are refused at once
    Then they return in order, no more in a second than drain in it

  Scenario Outline: Loads are <what>
    Given a cell whose waiting work exceeds the limit
    When its load is <what> and a submission arrives
    Then it is admitted

    Examples:
      | what    |
      | missing |
      | old     |

  Scenario: A load of a host without admission control is unknown
    Given a cell whose waiting work exceeds the limit
    When one of two cells reports no backlog and a submission arrives
    Then it is admitted

  Scenario Outline: Load is no reason to refuse <kind>
    Given a cell whose waiting work exceeds the limit
    When a submission with <kind> arrives
    Then it is admitted

    Examples:
      | kind                |
      | a long-running step |
      | scheduled times     |

  Scenario: The owner of a cell is lost and the next one counts its backlog again
    Given a cell whose waiting work exceeds the limit
    When the next owner counts the submissions that it takes over
    Then its accounts and waiting work are those of the lost owner
    And its rate is unknown, so that a submission is admitted

  Scenario: An admission that the store refused takes no capacity
    Given a cell with room for one submission, reported 0.2 s ago
    When a submission is admitted and withdrawn as not stored
    Then the next one finds the room free

  Scenario: A cell reports its largest accounts and the sum of the rest
    Given a cell with waiting work of 20 accounts
    When its owner counts the backlog
    Then 16 accounts and the sum of the rest make up all of the work

  Scenario Outline: Max-min fair shares of <capacity> among <demands>
    When <capacity> is shared among <demands>
    Then the shares are <shares>

    Examples:
      | capacity | demands | shares  |
      | 10       | 2 3 4   | 2 3 4   |
      | 10       | 2 8 8   | 2 4 4   |
      | 9        | 5 5 5   | 3 3 3   |
      | 0        | 1 2 3   | 0 0 0   |
