Feature: Recorded limits on the leases of draining workers
  The record of a cell's workers tells the next owner how long leases on draining ones
  last at most. Runs in memory.

  # Guards against TWICE: a host of a version without limits keeps the row if no worker
  # has changed, and renews the usual leases for 12 s after it was cut off.
  Scenario: The limits of an owner before the last one don't shorten the wait
    Given a cell with recorded workers "w1 w2"
    When "w1" drained and the owner's process ends
    Then an owner that takes the cell over at once waits less than 7 s for "w1"
    When a host that records no limits takes the cell over and leaves the record as it is
    Then an owner that takes the cell over at once waits more than 18 s for "w1"

  # Guards against TWICE and against longer waits: the owner after the next one relies on
  # limits that the next one recorded itself.
  Scenario: The next owner records the limits that it has read again
    Given a cell with recorded workers "w1 w2"
    When "w1" drained and the owner's process ends
    And the next owner takes the cell over without reaching "w1"
    Then the workers must be written again
    When the workers are recorded until nothing is left to record
    Then an owner that takes the cell over at once waits less than 7 s for "w1"

  # Guards against lapsed runs: the write under way has a limit that allows no lease, and
  # a later one was asked for only with the next report, up to 1 s later.
  Scenario: A run that is found during a write of the workers is recorded by the next one
    Given a cell with recorded workers "w1 w2"
    When "w1" drained and the owner's process ends
    And the next owner finds a run on "w1" during a write of the workers
    Then the workers must be written again
    When the workers are recorded until nothing is left to record
    Then it grants "w1" a lease of 2 s

  # Guards against lapsed runs: no later limit was recorded for 12 s after a start without
  # an answer, or while the submission of a run wasn't known, and none allows no lease.
  Scenario Outline: A run on a draining worker gets leases after <event>
    Given a cell with recorded workers "w1 w2"
    When "w1" has a run, and drained with a recorded limit before <event>
    Then the workers must be written again
    When the workers are recorded until nothing is left to record
    Then it grants "w1" a lease of 2 s

    Examples:
      | event                             |
      | the answer to its start is lost   |
      | a takeover without the submission |

  # Guards against TWICE: tasks started on a worker that is recorded as draining, with
  # the limit of a life that had been forgotten.
  Scenario Outline: A drained worker that returns <when> is recorded before a start on it
    Given a cell with recorded workers "w1 w2"
    When "w1" drained and its owner goes on
    And "w1" is forgotten and returns ready <when>
    Then the workers must be written again

    Examples:
      | when                         |
      | between two writes           |
      | during a write of the others |
