Feature: Tasks of a cell whose earlier owner can't be asked
  Its data centre is cut off and a worker doesn't answer the new owner, so that runs may
  be unknown until every lease of the earlier owner has certainly expired.

  Scenario: A task that was found running starts again as soon as its run ends
    Given a cell of 3 workers taken over with runs unknown for 18 s, one of them silent
    And a standing task that runs on a worker that answers
    When its run is lost to a failure after 3 s
    Then it is started again at once

  # Guards against TWICE: the worker may tell the earlier owner too of an end by which a
  # hold of that owner still waits there, and that owner then starts the task elsewhere.
  Scenario: A task whose run ends just after it was found waits for earlier owners
    Given a cell of 3 workers taken over with runs unknown for 18 s, one of them silent
    And a standing task that runs on a worker that answers
    When its run is lost to a failure after 1 s
    Then it isn't started before 18 s
    And it is started after 18 s

  Scenario: A task that was not found waits until no run of it can be left
    Given a cell of 3 workers taken over with runs unknown for 18 s, one of them silent
    And a standing task that runs on the silent worker
    Then it isn't started before 18 s
    And it is started after 18 s

  # Guards against LOST: a worker that was gone before the takeover held tasks back
  # for as long as the previous owner could have gone on without the store.
  Scenario: The previous owner confirms after the cut that a worker's leases have expired
    Given a cell of 3 workers taken over with runs unknown for 18 s, one of them silent
    And a standing task that runs on the silent worker
    When the previous owner tells after 5 s that the silent worker's leases last 0 s more
    Then it isn't started before 5 s
    And it is started after 5 s

  # Guards against TWICE: leases that the previous owner granted last run on.
  Scenario: The previous owner confirms its stop while a worker's leases last
    Given a cell of 3 workers taken over with runs unknown for 18 s, one of them silent
    And a standing task that runs on the silent worker
    When the previous owner tells after 5 s that the silent worker's leases last 4 s more
    Then it isn't started before 9 s
    And it is started after 9 s

  # Guards against TWICE: the previous owner told of runs of its own predecessor, or of a
  # start that may be carried out late, and the new one waited as for any stopped owner.
  Scenario Outline: The previous owner tells that a worker's leases outlast the usual wait
    Given a cell of 3 workers taken over with runs unknown for 6 s, one of them silent
    And a standing task that runs on the silent worker
    When the previous owner tells after 5 s that the silent worker's leases last <left> s more
    Then it isn't started before <at> s
    And it is started after <at> s

    Examples:
      | left | at |
      | 9    | 14 |
      | 18   | 23 |

  # Guards against LOST: no owner waits longer than the leases of one that can't be asked last.
  Scenario: The previous owner tells of leases that last longer than any
    Given a cell of 3 workers taken over with runs unknown for 6 s, one of them silent
    And a standing task that runs on the silent worker
    When the previous owner tells after 5 s that the silent worker's leases last 600 s more
    Then it isn't started before 23 s
    And it is started after 24 s

  # Guards against TWICE: the previous owner's word on one worker says nothing of others.
  Scenario: The previous owner doesn't name a worker
    Given a cell of 3 workers taken over with runs unknown for 18 s, one of them silent
    And a standing task that runs on the silent worker
    When the previous owner tells after 5 s that another worker's leases last 0 s more
    Then it isn't started before 18 s
    And it is started after 18 s

  # Guards against TWICE: a previous owner that was itself waiting for runs of its
  # predecessor tells so.
  Scenario: The previous owner was still waiting for runs of its own predecessor
    Given a cell of 3 workers taken over with runs unknown for 18 s, one of them silent
    When the cell is abandoned after 5 s
    Then it tells that the silent worker's leases last 13 s more

  # Guards against TWICE: an end beyond the first 500 of a report was not waited for.
  Scenario: A worker with more ends than one report holds isn't known until all are listed
    Given a cell of 1 workers taken over with runs unknown for 18 s, none of them silent
    And a worker that lists 500 ends, and the end of a waiting task after these
    Then the task isn't started
    When the 500 ends are acknowledged
    Then the task counts as done and isn't started here

  # Guards against LOST: a task moved here after the takeover waited for runs that no
  # earlier owner can have. Guards against TWICE: an earlier owner that has not learned of
  # the takeover may start a task that moves here, unless the move names a later epoch.
  Scenario Outline: A task is moved here under the epochs <epochs> of this cell
    Given a cell of 3 workers taken over with runs unknown for 18 s, one of them silent
    When a standing task is moved here under the epochs <epochs>, of which this owner has 2
    Then <outcome>

    Examples:
      | epochs  | outcome                      |
      | 2       | it is started after 1 s      |
      | 1       | it isn't started before 18 s |
      | unknown | it isn't started before 18 s |
      | 2 and 1 | it isn't started before 18 s |
      | 3       | it isn't started before 20 s |
