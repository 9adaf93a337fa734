# Guards against LOST: a rack is lost for good, and the hosts that knew it restart.
Feature: A cell without listed workers keeps an owner

  Scenario Outline: A host that has never seen the workers of a <state> cell acquires it
    Given a <state> cell of "dc-1" whose workers are no longer listed
    When a host of "dc-1" looks after its cells for 0.2 s
    Then it has taken the cell

    Examples:
      | state    |
      | released |
      | lost     |

  Scenario: The data centre of a cell stays recorded while its workers aren't listed
    Given a released cell of "dc-1" whose workers are no longer listed
    When a host of "dc-1" looks after its cells for 0.2 s
    Then the owner row names the cell's data centre "dc-1"

  Scenario: The owner row names the data centre of listed workers
    Given a released cell of "" whose workers are listed in "dc-1"
    When a host of "dc-1" looks after its cells for 0.2 s
    Then the owner row names the cell's data centre "dc-1"

  Scenario Outline: A cell goes to its own data centre first, then to any
    Given a released cell of "dc-1" whose workers are no longer listed
    And hosts of "dc-1" are alive
    When a host of "dc-2" looks after its cells for <seconds> s
    Then it has <taken> the cell

    Examples:
      | seconds | taken     |
      | 2.0     | not taken |
      | 6.0     | taken     |

  Scenario: A cell whose data centre isn't recorded gets an owner in any
    Given a released cell of "" whose workers are no longer listed
    And hosts of "dc-1" are alive
    When a host of "dc-2" looks after its cells for 6.0 s
    Then it has taken the cell

  Scenario: Requests for the data centre of a lost rack are read after a restart
    Given a released cell of "dc-9" whose workers are no longer listed
    When a host reads the owner rows
    Then it reads the operator's requests for "dc-9"

  Scenario: An owner learns the data centre of a cell from workers that come back
    Given a released cell of "" whose workers are no longer listed
    When a host of "dc-1" owns it and workers of "dc-2" are listed
    Then the owner takes the cell for one of "dc-2"
