Feature: Admission of submissions by a host
  A host knows one overloaded cell from its published load and refuses what can't be done
  within three times its objective. Nothing of a refused submission is stored.

  Scenario: A refusal names the time to return and stores nothing
    Given a host that knows an overloaded cell
    When a submission arrives
    Then it is answered 503 with a Retry-After of whole seconds
    And the store holds nothing of it

  Scenario: With the limit 0 nothing is refused for load
    Given a host without a limit that knows an overloaded cell
    When a submission arrives
    Then it is answered 200 and stored with its data centre of arrival

  Scenario Outline: A load that is <what> is no reason to refuse
    Given a host that knows an overloaded cell
    When its load becomes <what>
    And a submission arrives
    Then it is answered 200 and stored with its data centre of arrival

    Examples:
      | what                        |
      | older than 5 s              |
      | that of a lost owner        |
      | one without backlog numbers |

  Scenario: A submission that another host has stored is not refused
    Given a host that knows an overloaded cell
    And a submission that another host has stored
    When it arrives again
    Then it is answered 200

  # Guards against a 503, which promises that a submission never runs, for one that an
  # earlier request has stored through another host.
  Scenario: A submission that another host has stored is not refused for want of a cell
    Given a host that knows a cell with capacity
    And a submission that another host has stored
    When no cell is known any more and the submission arrives again
    Then it is answered 200 after at most 0 commit

  # Guards against a submission that is accepted though no cell can run it.
  Scenario: A new submission that no cell suits is refused
    Given a host that knows a cell with capacity
    When no cell is known any more and the submission arrives again
    Then it is answered 503 after at most 0 commit

  Scenario: While the store is unavailable a submission is answered as without admission
    Given a host that knows an overloaded cell
    When a submission arrives while the store is unavailable
    Then it is answered 503 with a Retry-After of 1 s

  Scenario: A commit without an outcome keeps a submission from being refused
    Given a host that knows a cell with capacity
    When a submission arrives while commits have no outcome
    Then it is answered 504
    When the cell becomes overloaded and the submission arrives again
    Then it is answered 200

  # Guards against a 503, which promises that a submission never runs, while a commit of
  # an earlier request may still take effect.
  Scenario Outline: After a commit without an outcome a submission isn't refused if <what>
    Given a host that knows a cell with capacity
    When a submission arrives while commits have no outcome
    Then it is answered 504
    When <what> and the submission arrives again
    Then it is answered 504 after at most 1 commit

    Examples:
      | what                      |
      | the store refuses         |
      | no cell is known any more |

  # Guards against the same while the first request hasn't been answered yet.
  Scenario: A submission isn't refused while an earlier request for it is handled
    Given a host that knows a cell with capacity
    When a submission arrives twice and the store leaves the first commit unanswered
    Then neither request is answered 503

  # Guards against UNASKED: a submission that starts after its cancellation was answered.
  Scenario Outline: Cancelled <when> a commit without an outcome it is never stored
    Given a host that knows a cell with capacity
    When a submission arrives while commits have no outcome
    And it is cancelled <when> that
    Then it is answered 410
    And the commits without an outcome, carried out late, store nothing

    Examples:
      | when        |
      | right after |
      | 10 s after  |

  # Guards against a host that never refuses: what the store refused has not run.
  Scenario: A submission that the store refused before is refused again
    Given a host that knows a cell with capacity
    When a submission arrives while the store is unavailable
    And the store refuses and the submission arrives again
    Then it is answered 503 with a Retry-After of 1 s

  Scenario: Rows of hosts that don't know of admission are read
    When a load and an accepted submission of such a host are read
    Then the load has no backlog and the submission no data centre of arrival

  Scenario Outline: The limit <limit> is rejected at startup
    When a host is set up with the limit <limit>
    Then the error names admission_late_limit, the value and the remedy

    Examples:
      | limit |
      | -1    |
      | 0.5   |
      | nan   |
      | inf   |
