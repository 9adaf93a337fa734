Feature: A host survives clients that do not behave
  A machine has 300 MB and 4,100 descriptors, 200 of them for files; bytes that were received
  and not yet read count. This feature runs alone.

  # Guards against memory that grows with requests sent ahead, whose responses nobody reads.
  Scenario Outline: Requests sent ahead, answers unread: <what> to <server>
    Given 1 hosts on the stand-in platform with 1 workers
    When <n> unruly clients send <what> to <server> for 8 seconds
    Then the host lives, within the memory and descriptors of its machine
    And an ordinary submission is accepted and done

    Examples:
      | what                       | server  | n    |
      | GETs of a submission       | front   | 40   |
      | GETs without a Host        | front   | 40   |
      | GETs over HTTP/1.0         | front   | 40   |
      | GETs of the readiness path | ready   | 40   |
      | GETs of the metrics        | metrics | 40   |
      | GETs of a state            | peer    | 40   |
      | submissions of 900 KB      | front   | 40   |
      | relayed requests of 900 KB | peer    | 40   |
      | GETs of the readiness path | front   | 1000 |
      | submissions of 900 KB      | front   | 1000 |
      | submissions of 500 KB      | front   | 40   |
      | submissions of 500 KB      | front   | 1000 |

  # Guards against bodies over the limit, and against many unfinished ones within it.
  Scenario Outline: Bodies that never end well: <what> to <server>
    Given 1 hosts on the stand-in platform with 1 workers
    When <n> unruly clients send <what> to <server> for 8 seconds
    Then the host lives, within the memory and descriptors of its machine
    And an ordinary submission is accepted and done

    Examples:
      | what                         | server | n    |
      | 4 GB announced and sent      | front  | 40   |
      | a chunked body without end   | front  | 40   |
      | 999 KB of 1 MB, then silence | front  | 400  |
      | 999 KB of 1 MB, then silence | peer   | 400  |
      | 999 KB of 1 MB, then silence | front  | 1500 |
      | 520 KB of 521 KB, then silence | front | 1500 |
      | headers without end          | front  | 400  |
      | 1 byte of a body at a time   | front  | 400  |

  # Guards against connections that use up the descriptors, so that nothing else connects.
  Scenario Outline: Very many connections at once: <what> to <server>
    Given 1 hosts on the stand-in platform with 1 workers
    When <n> unruly clients send <what> to <server> for 8 seconds
    Then the host lives, within the memory and descriptors of its machine
    And an ordinary submission is accepted and done

    Examples:
      | what                         | server | n    |
      | nothing                      | front  | 4500 |
      | nothing                      | ready  | 4500 |
      | nothing                      | peer   | 4500 |
