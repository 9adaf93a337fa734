Feature: Tasks of a cell whose earlier owner can't be asked
  Its data centre is cut off and a worker doesn't answer the new owner, so that runs may
  be unknown until every lease of the earlier owner has certainly expired.

  Scenario: A task that was found running starts again as soon as its run ends
    Given a cell of 3 workers taken over with runs unknown for 18 s, one of them silent
    And a standing task that runs on a worker that answers
    When its run is lost to a failure
    Then it is started again at once

  Scenario: A task that was not found waits until no run of it can be left
    Given a cell of 3 workers taken over with runs unknown for 18 s, one of them silent
    And a standing task that runs on the silent worker
    Then it isn't started before 18 s
    And it is started after 18 s

  # Guards against TWICE: an end beyond the first 500 of a report was not waited for.
  Scenario: A worker with more ends than one report holds isn't known until all are listed
    Given a cell of 1 workers taken over with runs unknown for 18 s, none of them silent
    And a worker that lists 500 ends, and the end of a waiting task after these
    Then the task isn't started
    When the 500 ends are acknowledged
    Then the task counts as done and isn't started here
