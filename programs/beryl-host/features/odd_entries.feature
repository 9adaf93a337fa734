Feature: Odd rows among those that a host reads

  # Guards against a host that stops following the list, and against a cell that no worker
  # can serve: an entry with a port out of range made one.
  Scenario Outline: A list with an entry <fault> is followed, and makes no cell for it
    Given a list with the workers "w1 w2" of rack "r1"
    When the entry of "w3" in rack "r9" is <fault>
    And the entry of "w4" in rack "r1" is valid
    Then the cells are "r1" with the workers "w1 w2 w4"
    When the same entry of "w3" is written 3 times more
    Then 1 rejected entry was counted

    Examples:
      | fault                      |
      | nested too deeply          |
      | with a port out of range   |
      | with a number too large    |
      | with a capacity below zero |
      | cut short                  |

  # Guards against LOST: the next owner waited 18.7 s for the answer of a worker that has no
  # address.
  Scenario: The next owner doesn't wait for a worker with an odd entry
    Given a list with the workers "w1 w2" of rack "r1"
    And a cell with recorded workers "w1 w2"
    When the entry of "w3" in rack "r1" is with a port out of range
    And the owner records the listed workers and its process ends
    And the next owner finds "w3" neither listed nor reachable, and "w2" reports
    Then the next owner knows all runs of earlier owners

  # Guards against a cell that moves to another data centre because of one entry.
  Scenario: One entry with another zone doesn't move its cell
    Given a list with the workers "w1 w2" of rack "r1"
    When the entry of "w0" in rack "r1" is of the zone "dc-9"
    Then the cells are "r1" with the workers "w0 w1 w2"
    And the cell "r1" belongs to the data centre "dc-1"

  # Guards against TWICE and LOST: the work of a worker whose entry turns odd neither
  # starts anew elsewhere nor ends, and nothing starts there until the entry is valid.
  Scenario: A worker in use whose entry turns odd keeps its runs and gets no new ones
    Given a list with the workers "w1" of rack "r1"
    And its owner runs a task on "w1"
    When the entry of "w1" in rack "r1" is with a port out of range
    And the worker "w1" reports its run, and another task waits
    Then nothing starts, and the run on "w1" goes on
    When the entry of "w1" in rack "r1" is valid
    And the worker "w1" reports its run, and another task waits
    Then a task starts on "w1", and the run on "w1" goes on

  # Guards against a loop that ends or repeats without end: RecursionError of the
  # configuration left the operator's follower at the row before it.
  Scenario Outline: After <source> that is <fault> the host reads the next one
    When a host reads <source> that is <fault>, and then a valid one
    Then it has applied the valid one

    Examples:
      | source            | fault             |
      | a configuration   | nested too deeply |
      | a configuration   | not text          |
      | a wave            | nested too deeply |
      | a wave            | not text          |
      | an owner row      | nested too deeply |
      | an owner row      | not text          |
      | a heartbeat       | nested too deeply |
      | a heartbeat       | empty             |
      | a load            | nested too deeply |
      | live owners       | nested too deeply |
      | live owners       | not text          |
      | pairs             | nested too deeply |
      | a sum of pairs    | not text          |
      | a sum of pairs    | nested too deeply |
      | a submission      | nested too deeply |
      | moves             | nested too deeply |
      | a home            | nested too deeply |
      | a peer's message  | nested too deeply |
      | a peer's reply    | nested too deeply |
      | a peer's reply    | of no known state |
      | a peer's address  | out of range      |

  # Guards against TWICE: a next owner that could not read the recorded workers waited for
  # none, and started tasks that ran.
  Scenario Outline: Recorded workers <fault> make the next owner wait for all leases
    Given a cell with recorded workers "w1 w2"
    And its recorded workers are <fault>
    When a host acquires it with runs unaccounted for 1 s and "w1 w2" report at once
    Then inherited tasks wait for <wait> s
    And the unknown worker is recorded no longer after 2 s

    Examples:
      | fault                    | wait |
      | cut short                | 1    |
      | nested too deeply        | 1    |
      | with an odd entry        | 1    |
      | as they were             | 0    |

  # Guards against LOST: workers without an address that an earlier version recorded never
  # answer.
  Scenario: Recorded workers without a usable address aren't waited for
    Given a cell with recorded workers "w1 w2"
    And its recorded workers are with one at the port 99999
    When a host acquires it with runs unaccounted for 1 s and "w1 w2" report at once
    Then inherited tasks wait for 0 s

  # Guards against TWICE: progress that could not be read counted as none, and tasks that
  # were done started again. Against LOST: one such row kept the whole cell from starting,
  # and a done task that a step doesn't have ended the step without one that it has.
  Scenario Outline: No task starts whose progress is <fault>, and the others do
    Given a cell with recorded workers "w1"
    And two submissions, and the progress of the first is <fault>
    When a host acquires the cell with both submissions, and "w1" reports
    Then tasks of <started> start

    Examples:
      | fault                            | started                     |
      | cut short                        | the second submission alone |
      | not text                         | the second submission alone |
      | empty                            | the second submission alone |
      | nested too deeply                | the second submission alone |
      | of an odd state                  | the second submission alone |
      | of a run of 400 digits           | the second submission alone |
      | of a task beyond its step        | the second submission alone |
      | of a step too many               | the second submission alone |
      | of an occurrence too many        | the second submission alone |
      | of a failed task beyond its step | the second submission alone |
      | as it was                        | both submissions            |

  # Guards against TWICE: an owner row that can't be read isn't "no owner", its epoch could
  # be used again. Against LOST: it kept the host from acquiring its other cells. Against
  # a refused write of the store, and a log line, four times a second.
  Scenario Outline: No host acquires a cell whose owner row is <fault>
    Given a cell with recorded workers "w1 w2" that was released
    And its owner row is <fault>
    When a host looks after that cell and another one 3 times
    Then it owns the other cell, after 1 commit
    And the owner row was logged once

    Examples:
      | fault                                                |
      | {"epoch": 2, "host_id": "", "incarnation":           |
      | (deep)                                               |
      | {"epoch": -1, "host_id": "", "incarnation": ""}      |
      | {"epoch": 1e300, "host_id": "", "incarnation": ""}   |
      | {"epoch": 9007199254740993, "host_id": "", "incarnation": ""} |

  # Guards against LOST: inherited tasks of the cell never started, under any owner.
  Scenario: Earlier runs count as unaccounted for no longer than leases can last
    Given a cell with recorded workers "w1 w2" that was released
    And its owner row has runs unaccounted for 1e300 s
    When a host acquires that cell
    Then inherited tasks wait for at most 18.72 s, under it and the next owner
    And the owner row was logged once

  # Guards against LOST: a cell was given up again and again because of a move, or of the
  # end of a moved task, with a step that the submission doesn't have.
  Scenario Outline: The <message> of a task that doesn't exist is ignored
    Given a cell with recorded workers "w1"
    And its owner has a submission of one step
    When it hears of the <message> of task <task>
    Then the cell goes on

    Examples:
      | message | task    |
      | move    | 0.9.0   |
      | move    | 9.0.0   |
      | move    | -1.-1.0 |
      | end     | 0.9.0   |
      | end     | 9.0.0   |
      | end     | 0.0.9   |

  # Guards against a host that acquires no cell: the share of a live host with no
  # processing capacity was computed by a division by zero.
  Scenario: A heartbeat without processing capacity doesn't count
    Given a cell with recorded workers "w1 w2" that was released
    When a host looks after it beside a host with the processing capacity 0
    Then it has taken the cell
