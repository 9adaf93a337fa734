Feature: Tasks that crash the workers that start them
  A task that crashes each worker that starts it is given up after two crashes that it alone
  explains, or after three. The count survives takeovers, moves, restarts and lost answers.

  # Guards against LOST: the start was never taken for lost, as each refused hold counted
  # the longest lease anew.
  Scenario: A start accepted right before a crash is repeated once another worker answers
    Given 2 workers, of which the first crashes once when the task starts there
    When 6 seconds are played
    Then the task has been started twice
    And the submission of the task is done

  # Guards against BUDGET: a task crashed worker after worker.
  Scenario Outline: A task that crashes its workers, which are <return>, is given up
    Given 4 workers and a task that crashes them
    And crashed workers are <return>
    And starts before a crash are <answer>
    When 90 seconds are played
    Then the task has been started 2 to 5 times
    And the submission of the task has failed

    Examples:
      | return                  | answer     |
      | back under a new id     | answered   |
      | back under a new id     | unanswered |
      | back under their old id | answered   |
      | back under their old id | unanswered |
      | silent for 9 seconds    | answered   |
      | silent for 9 seconds    | unanswered |

  # Guards against BUDGET: the next owner counted from zero.
  Scenario Outline: A takeover after each crash doesn't reset the count, workers <return>
    Given 4 workers and a task that crashes them
    And crashed workers are <return>
    And starts before a crash are <answer>
    And another host takes over 0.5 seconds after each crash
    When 150 seconds are played
    Then the task has been started 2 to 5 times
    And the submission of the task has failed

    Examples:
      | return                  | answer     |
      | back under a new id     | answered   |
      | back under a new id     | unanswered |
      | back under their old id | answered   |
      | back under their old id | unanswered |
      | silent for 9 seconds    | answered   |

  # Guards against LOST: the next owner counted a run that was recorded in advance, but
  # never started, because any worker had crashed since. It counts if its worker has.
  Scenario Outline: A run recorded before its owner is lost, with <lost>, <counts>
    Given 4 workers, of which the first crashes once when the task starts there
    And crashed workers are <return>
    And <n> owners in turn are lost before the task restarts, and <lost> with them
    When 60 seconds are played
    Then all of these owners were lost
    And the submission of the task <result>

    Examples:
      | lost       | counts        | return                  | n | result     |
      | no worker  | doesn't count | back under a new id     | 6 | is done    |
      | another    | doesn't count | back under a new id     | 6 | is done    |
      | another    | doesn't count | back under their old id | 6 | is done    |
      | its worker | counts        | back under a new id     | 2 | is done    |
      | its worker | counts        | back under a new id     | 3 | has failed |
      | its worker | counts        | back under their old id | 3 | has failed |

  # Guards against BUDGET: the cell that a task moves to counted from zero.
  Scenario: A move carries the crashes of its task
    Given 4 workers and a task that crashes them
    And the task moves to another cell after each crash
    When 90 seconds are played
    Then the task has been started 2 to 5 times
    And the submission of the task has failed

  # Guards against LOST: tasks that only ran beside the one that crashes workers.
  Scenario: Tasks that run beside one that crashes workers aren't given up
    Given 4 workers, a task that crashes them and 30 other submissions
    When 90 seconds are played
    Then the submission of the task has failed
    And the other submissions are done

  # Guards against LOST: a worker that is only silent hasn't crashed.
  Scenario: A task whose workers fall silent again and again isn't given up
    Given 4 workers, of which each falls silent for 8 seconds when the task starts there
    When 90 seconds are played
    Then the submission of the task is running

  # Guards against LOST: a task that has run for seconds doesn't crash its workers.
  Scenario: A long-running task whose workers crash after 20 seconds isn't given up
    Given 4 workers and a long-running task, and each crashes 20 seconds after its start
    When 150 seconds are played
    Then the submission of the task is running

  # Guards against BUDGET: the run that starts wasn't the one recorded in advance.
  Scenario: A suspect in a gang is recorded under the run number that the gang starts with
    Given a gang of 2 tasks with other run numbers, of which one has crashed a worker
    When the gang has started again
    Then the record counts the suspect's run as crashed
    When the gang has failed
    Then only the crash that happened is counted

  # Guards against LOST: a task that is done was counted, and its submission could fail.
  Scenario: A crash that is found late doesn't count for a task that has ended elsewhere
    Given two tasks on workers of which one falls silent until its lease expires
    When its task is done elsewhere and the list names its restart
    Then no crash is counted

  # Guards against LOST: all chose the same worker, which took one of them at a time, so
  # the last of them waited for seconds beside idle workers.
  Scenario: Many tasks that may have crashed a worker start on idle workers at once
    Given 8 workers and 40 tasks of an earlier owner that may each have crashed a worker
    And a record takes 0.2 seconds
    When 3 seconds are played
    Then each of these tasks has started

  # Guards against LOST: other tasks took the room between the record and the start.
  Scenario: A standing task that may have crashed a worker keeps its room until it starts
    Given 1 worker with room for one task, and a standing task that may have crashed a worker
    When other tasks arrive in each round for 3 seconds
    Then each of these tasks has started

  # Guards against LOST: each try to start a waiting gang closed the workers that had room
  # for its suspects, used up a run number, and recorded a run that never started.
  Scenario: A waiting gang with a suspect leaves workers open to other tasks
    Given 2 workers of 8 cores and a gang of 5 tasks of 4 cores, of which 2 may have crashed a worker
    When 8 tasks of 1 cores arrive, one in each round of 0.1 s
    Then 0 tasks of the gang and 8 other tasks have started
    And the gang's next run number is still 2
    And the record counts no crash that hasn't happened

  # Guards against LOST: a suspect of the gang closed its worker to the other members.
  Scenario: Members of a gang start on the worker of a suspect among them
    Given 1 workers of 8 cores and a gang of 2 tasks of 4 cores, of which 1 may have crashed a worker
    When 5 tasks of 16 cores arrive, one in each round of 0.1 s
    Then 2 tasks of the gang and 0 other tasks have started

  # Guards against LOST: other tasks took the room between the record and the start.
  Scenario: A gang with a suspect keeps its room until it starts
    Given 2 workers of 8 cores and a gang of 4 tasks of 4 cores, of which 1 may have crashed a worker
    When 5 tasks of 8 cores arrive, one in each round of 0.1 s
    Then 4 tasks of the gang and 0 other tasks have started

  # Guards against LOST: all tasks of the step were recorded for the same worker, which
  # took one of them, so they started one for each record.
  Scenario: Recorded starts of a step with one task for a worker are spread over the workers
    Given 4 workers and an earlier owner's step of 4 tasks, one for a worker, after a worker was lost
    When 2 rounds are planned
    Then 4 workers have got a task each

  # Guards against LOST: other cells saw the room that a prepared start takes as taken
  # twice, so their stuck tasks stayed.
  Scenario: A task whose room is kept doesn't count as waiting for more
    Given 4 workers and an earlier owner's step of 4 tasks, one for a worker, after a worker was lost
    When 1 rounds are planned
    Then 28000 thousandths of a core are free and 0 are waited for

  # Guards against LOST: a record holds at most 49 submissions, always those that came
  # first, so later ones never started while the progress of these changed.
  Scenario: Each submission is recorded although the progress of many changes
    Given 60 submissions of a task each, and records that hold 49 submissions
    When the progress of all changes before each of 2 records
    Then each of them has been recorded

  # Guards against LOST: the full workers were the only ones without a recent start, and
  # the task chose among these alone.
  Scenario: A task that may have crashed a worker starts on the only worker with room, though it is busy
    Given 3 workers of 8 cores, of which 2 are full, and a task of 4 cores that may have crashed a worker
    When 20 short tasks arrive, one in each round of 0.1 s
    Then the task that may have crashed a worker has started

  # Guards against BUDGET: the answer counted as a sign of life of the crashed incarnation,
  # so that only the later run was a suspect.
  Scenario: An answer of a restarted worker doesn't clear the run that crashed it
    Given a run that its worker has accepted, and a later one that the restarted worker has
    When the list names the restart
    Then a crash of the first run is counted

  # Guards against BUDGET: the answers counted as those of a worker that was only silent,
  # and the task was started once more than a task that crashes workers may be.
  Scenario: A crash stays counted though the run's lease expires before the worker answers
    Given a run that its worker has accepted but not reported
    When the list names the restart
    And the restarted worker answers after the run's lease has expired
    Then a crash of the first run is counted

  # Guards against LOST: a record without a worker counted against the task if any worker
  # of the cell had crashed, though the task had never started.
  Scenario: The record of a suspect names its worker after a time without records
    Given a task that may have crashed a worker, and 3 seconds in which nothing is recorded
    When its next run is recorded
    Then the record names the worker where the run is to start
    And the run starts there in the next round

  # Guards against BUDGET: a run that was recorded in advance, and whose start was executed
  # late, was taken back, as another run had just started when its worker crashed.
  Scenario: A recorded start without an answer may have crashed a worker later
    Given a suspect's run whose start wasn't answered, and a later one that its worker has accepted
    When the list names the restart
    Then a crash of the first run is counted

  # Guards against LOST: a submission is given up for a start that waits for a connection
  # when its worker restarts, and is then refused.
  Scenario Outline: Only a start that was permitted counts when its worker crashes
    Given a start that <state> when its worker restarts
    When the list names the restart
    Then <n> crashes of it are counted
    And the start is <outcome>

    Examples:
      | state                 | n | outcome           |
      | waits to be permitted | 0 | no longer allowed |
      | has been permitted    | 1 | still expected    |
