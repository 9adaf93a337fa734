Feature: Cells of a host while maintenance waves are known
  In memory, with one cell and one wave.

  # Guards against tasks that start on a machine whose earlier owner has requested its
  # maintenance, before the new owner has read the wave's record.
  Scenario Outline: A new cell, and a wave whose record is <record>
    Given a cell that begins while a wave is known, and its record is <record>
    When the host takes a step
    Then the cell waits for its cordons: <waits>, and the cordoned workers are "<workers>"

    Examples:
      | record     | waits | workers |
      | absent     | no    |         |
      | present    | no    | w0      |
      | unreadable | yes   |         |
      | withdrawn  | no    |         |
      | not read   | yes   |         |

  # Guards against a call, and a traceback, in every step while the service fails in an
  # unexpected way.
  Scenario: A call for maintenance fails with an unexpected exception
    Given calls for maintenance that fail with an unexpected exception
    When the same call is requested 5 times within 0.1 s
    Then the machine service was called once

  # Guards against a log line for each repetition of a call, beside the changes of others.
  Scenario: A repeated request isn't logged again beside another machine's change
    Given a cell that begins while a wave is known, and its record is present
    When a commit requests the maintenance of "m-0" again and of "m-1" for the first time
    Then only the maintenance of "m-1" is logged as requested

  # Guards against a wave whose time begins anew with each read, or not with a new row.
  Scenario Outline: A wave that is read again with <change>
    Given the row of a wave that the host has read
    When it is read again 0.05 s later with <change>
    Then the time at which the host learned of it <effect>

    Examples:
      | change         | effect        |
      | the same row   | is the first  |
      | a newer row    | is the second |

  # Guards against more reads than the service accepts from all hosts together, and
  # against hosts with a slot that learn too late that a machine is up.
  Scenario Outline: Hosts share the limit of the machine service
    Given a cell that begins while a wave is known, and its record is <record>
    And <hosts> hosts, and a list of <pages> pages
    When the host takes a step
    Then it reads the list each <period> s

    Examples:
      | record  | hosts | pages | period |
      | present | 1     | 1     | 1.0    |
      | present | 100   | 9     | 1.0    |
      | absent  | 1     | 1     | 1.0    |
      | absent  | 100   | 9     | 45.0   |

  # Guards against commits of a large record that take more than their part of a link.
  Scenario Outline: Commits of a record of <size> kB are paced
    Given a cell that begins while a wave is known, and its record is absent
    When the record, of <size> kB, would change in each of 20 steps within 1 s
    Then it is committed <n> times

    Examples:
      | size | n  |
      | 0    | 20 |
      | 21   | 2  |
