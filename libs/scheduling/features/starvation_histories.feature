Feature: Waits of fillers beside free capacity
  The load pattern: a burst of fillers at the end of a day on which cells lose all of
  their workers, serving tasks exceed their targets by their own load, tasks that reserve
  much are cancelled late and capacities grow again. While under half of the service's
  processors is in use, each submission has something running or waits at most 3 s.

  # Guards against LOST (issue 49): fillers in a cell all of whose workers recover neither
  # start nor move, also beside idle cells; in a cell without workers they stay as well.
  Scenario Outline: No filler waits beside free capacity, <cause>, <n_cells> cells
    When days of <n_cells> cells that end in a burst of fillers are played, seeds <seeds>
    Then no work waited for long beside free capacity
    And no serving task was kept over its target for long by fillers
    And no task ran twice, before its dependencies, or beyond its attempts
    And no end was acknowledged before it was recorded

    Examples:
      | cause                                | n_cells | seeds       |
      | all workers of one cell recover      | 2       | 20 21 36 68 |
      | all workers of one cell recover      | 3       | 4 14 25 32  |
      | all workers of all cells recover     | 2       | 7 12 29     |
      | one cell is lost, the others recover | 3       | 21 28 34    |

  # Guards against LOST (issue 49) as the users' bench counts: fillers use no capacity, so
  # that one waits beside free capacity though others use all processors.
  Scenario Outline: No filler waits because others use all processors, <n_cells> cells
    When days of <n_cells> cells that end in a burst of fillers are played by reserved capacity, seeds <seeds>
    Then no work waited for long beside free capacity
    And no serving task was kept over its target for long by fillers

    Examples:
      | n_cells | seeds             |
      | 2       | 1 4 7 11 14 24 29 |
      | 3       | 2 3 8 10          |

  # Guards against LOST (issue 49) in the stricter reading: of a serving task only what it
  # really uses, about half of what it reserves, counts as in use.
  Scenario Outline: No filler waits beside capacity that is really free, <cause>, <n_cells> cells
    When days of <n_cells> cells that end in a burst of fillers are played by real use, seeds <seeds>
    Then no work waited for long beside free capacity
    And no serving task was kept over its target for long by fillers

    Examples:
      | cause                                   | n_cells | seeds |
      | one cell recovers, the other has waits  | 2       | 6 11  |
      | one cell is lost, most is reserved      | 2       | 19 25 |
      | one cell is lost, the others have waits | 3       | 30    |

  # Guards against a check that finds nothing.
  Scenario: Days on which a cell is lost show a wait without moves between cells
    When days of 3 cells that end in a burst of fillers are played without moves until work waits
    Then a violation was found

  # Guards against a check that finds nothing.
  Scenario: Days show harm to serving tasks where workers don't stop fillers
    When days of 2 cells that end in a burst of fillers are played without stops until a serving task is harmed
    Then a violation was found

  # Guards against LOST (issue 49): the fillers that wait in another cell use up all the
  # room that it reports, although it runs none of them.
  Scenario Outline: A filler leaves a cell without workers, and the other's room is <room>
    Given a cell without workers in which a filler "press" waits
    And another cell's room for it is <room>
    Then the filler has started or is to move within 3 s

    Examples:
      | room                              |
      | beside a task that it may disturb |
      | that of its waiting fillers       |

  # Guards against LOST (issue 49): a filler that has moved twice stays for 5 s.
  Scenario Outline: A filler that has moved <n> times leaves a cell without workers
    Given a cell without workers in which a filler "press" waits
    And the filler has moved <n> times
    And another cell's room for it is beside no task
    Then the filler has started or is to move within 3 s

    Examples:
      | n |
      | 1 |
      | 2 |

  # Guards against LOST (issue 49): a worker that recovers for good counts as one that the
  # filler may be forced onto later.
  Scenario Outline: A filler doesn't wait for a worker that its own load keeps over its target, <other>
    Given a cell whose only worker runs 1 tasks that stay at 1.2 of their target, and a filler "press" waits
    And <other>
    Then the filler has started or is to move within 3 s

    Examples:
      | other                                                           |
      | another cell's room for it is beside no task                    |
      | another cell's room for it is beside a task that it may disturb |
      | another cell's room for it is that of its waiting fillers       |
      | there is no other cell                                          |

  # Guards against LOST (issue 49): short tasks that wait in another cell count as reserved,
  # so that three quarters of the service seem to be where a quarter is.
  Scenario Outline: A filler is forced though half of its worker is reserved, <other>
    Given a cell whose only worker runs 4 tasks that stay at 0.9 of their target, and a filler "press" waits
    And <other>
    Then the filler has started or is to move within 3 s

    Examples:
      | other                                                         |
      | there is no other cell                                        |
      | another cell's room for it is that of its waiting short tasks |

  # Guards against a check that finds nothing, and against fillers that are forced beside
  # a task that is over its target while most is reserved.
  Scenario: A filler waits beside a task that is over its target while most is reserved
    Given a cell whose only worker runs 6 tasks that stay at 1.2 of their target, and a filler "press" waits
    And there is no other cell
    Then the filler neither starts nor moves within 5 s
