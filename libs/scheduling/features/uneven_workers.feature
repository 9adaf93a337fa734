Feature: Uneven workers
  Slow, failing and flapping workers are recognized by the runs on them and chosen last, or
  put on probation. Each load pattern compares the same seeded load on 20 workers with and
  without this.

  # Guards against late submissions: slow workers got as much work as others.
  Scenario: A tenth of the workers at a fifth of their speed for 6 s and then normal again
    Given a tenth of the workers run at a fifth of their speed for 6 s
    When the load is run with and without uneven workers
    Then fewer submissions are late and none fails
    And exactly the disturbed workers counted as slow
    And every worker counts as normal 10 s after the disturbance

  # Guards against failed submissions: both attempts of a task landed on a failing worker.
  Scenario: One in twenty workers failing everything for 6 s
    Given one in twenty workers fails everything for 6 s
    When the load is run with and without uneven workers
    Then no more submissions are late and none fails
    And exactly the disturbed workers were on probation
    And every worker counts as normal 10 s after the disturbance

  # Guards against late submissions: a worker that came up lost many tasks once more.
  Scenario: Workers that go down and up by turns
    Given a tenth of the workers goes down and up by turns for 6 s
    When the load is run with and without uneven workers
    Then fewer submissions are late and none fails
    And exactly the disturbed workers were on probation

  # Guards against false alarms: a cell under load looked slow as a whole.
  Scenario: All workers slow alike
    Given all workers run at half of their speed for 6 s
    When the load is run with and without uneven workers
    Then no more submissions are late
    And no worker counted as slow

  # Guards against false alarms: a task that is long by itself marked its worker.
  Scenario: 3% of tasks taking 7 times as long on healthy workers
    Given 3% of the tasks take 7 times as long
    When the load is run with and without uneven workers
    Then no more submissions are late
    And no worker was on probation

  # Guards against false alarms: workers were put on probation for a task's fault.
  Scenario: Tasks that fail everywhere
    Given 5% of the submissions have a task that fails everywhere
    When the load is run with and without uneven workers
    Then only these submissions fail
    And no worker was on probation

  # Guards against lasting harm from a takeover: the evidence is not stored.
  Scenario Outline: A new owner learns which workers <fault> within seconds
    Given one in twenty workers <fault> from 5 s on
    And another host takes over after 8 s
    When the load is run for 13 s
    Then the new owner knows exactly the disturbed workers

    Examples:
      | fault            |
      | are slow         |
      | fails everything |

  # Guards against waiting tasks: the only worker that fits was avoided.
  Scenario: A slow worker is used when no other fits
    Given a slow worker and a full one
    Then a task goes to the slow worker
    When the full worker has become free
    Then a task goes to the free worker

  # Guards against marks that stay: no run ends and no reading comes any more.
  Scenario: Evidence ages when readings are missing
    Given a worker whose serving tasks of all images are over their targets
    Then it counts as slow
    When no reading has come for 4 s
    Then it gets one task at a time, and one task more than that only elsewhere

  # Guards against false alarms: a single run marked its worker.
  Scenario: One long run doesn't make a worker slow, several do
    Given siblings that took 1 s on other workers
    When a run has taken 7 s on a worker
    Then it doesn't count as slow
    When a run has taken 7 s on a worker
    Then it counts as slow

  # Guards against many tasks that fail on trial, and against a worker that never returns.
  Scenario: The backoff of a failing worker doubles from 1 s to 8 s
    Given a worker that has failed 3 tasks that run well elsewhere
    Then its probation lasts 1, 2, 4, 8 and 8 s as further tasks fail
    When 3 tasks have succeeded there
    Then it is no longer on probation

  # Guards against probation of all workers when this host's own network fails.
  Scenario: Outages of many workers at once put none on probation
    Given 10 workers of which 5 are down for 2 s twice
    Then none of them is on probation
    When one of them is down for 2 s twice
    Then only that one is on probation

  # Guards against failed submissions: a retry went where its task had failed already.
  Scenario: A task that has failed waits for another worker for 2 s
    Given a task has failed on worker "w0", "w1" is on probation and "w2" is sound
    Then the task may go to "w2" after 1 s
    And the task may go to "w0 w1 w2" after 3 s
    And another task may go to "w0 w1 w2" after 1 s

  # Guards against LOST: a task that crashes its workers left their room unused.
  Scenario: Only the first worker that a task crashes is put on probation
    Given 5 workers and a task that crashes them
    And crashed workers are back under their old id
    And starts before a crash are not answered
    When the owner learns from outages for 30 seconds
    Then the task is given up, and only one worker was on probation

  # Guards against LOST: all workers with room were spared for 4 s and longer.
  Scenario Outline: A task that fits nowhere else starts within 3 s on a spared worker
    Given a cell with 3 workers of 8 cores
    And each worker is <spared> for 8 s
    When a task of 5 cores is added
    And 3 s pass
    Then the task of 5 cores is started

    Examples:
      | spared       |
      | avoided      |
      | on probation |

  # Guards against failed submissions: a full cell tries its failing workers too often.
  Scenario: A spared worker gets no task while half of the capacity is in use
    Given a cell with 2 workers of 8 cores
    When a task of 8 cores is added
    Then the task of 8 cores is started
    Given each worker is avoided for 8 s
    When another task of 5 cores is added
    And 3 s pass
    Then no task is started

  # Guards against LOST: cells that spare workers took each other for full, and their tasks
  # waited beside empty workers (LivenessSimulation(7014, 3)).
  Scenario Outline: A spared worker gets a task if much is free on workers that others spare
    Given a cell with 2 workers of 8 cores
    When a task of 8 cores is added
    Then the task of 8 cores is started
    Given each worker is avoided for 8 s
    And another cell of 8 reserved cores spares workers of 16 cores with <free> free
    When another task of 5 cores is added
    And 3 s pass
    Then <n> tasks are started

    Examples:
      | free | n |
      | 16   | 1 |
      | 4    | 0 |
