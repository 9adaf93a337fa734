Feature: Acquisition and release of cells
  Runs in memory, on a store whose answers the scenario can delay or drop.

  Scenario: A release during a takeover keeps the recorded workers
    Given a cell with recorded workers "w1 w2"
    When a host acquires it with runs unaccounted for 18 s and leaves before reading it
    Then the cell's recorded workers are still "w1 w2"
    And the cell was released with runs unaccounted for at least 17 s

  Scenario: Hold loops that stop at a release don't remove the recorded workers
    Given a cell with recorded workers "w1 w2"
    When a host acquires it with runs unaccounted for 6 s and leaves after reading it
    Then the cell's recorded workers are still "w1 w2"

  # Guards against TWICE: the next owner doesn't ask a worker that the row lacks.
  Scenario: A worker that returns after a lost answer is recorded before a start on it
    Given a cell with recorded workers "w1 w2"
    When "w1" leaves it and the answer to the write without it is lost
    And "w1" returns and a task waits for it
    Then a task is not started on "w1"
    When the workers are recorded until nothing is left to record
    Then the cell's recorded workers are still "w2 w1"
    And a task is started on "w1"

  # Guards against TWICE: which row the next owner reads isn't known before an answer.
  Scenario: Workers are written again after a lost answer even if none has changed
    Given a cell with recorded workers "w1 w2"
    When the answer to a write of the same workers is lost
    Then the workers must be written again

  # Guards against LOST: the next owner waited 18.7 s for runs on a worker that had
  # drained and left while the cell had no owner. Guards against TWICE (issue 52): it
  # didn't wait for their leases, though one that is cut off looks the same.
  Scenario Outline: The next owner waits for the recorded leases of a worker that <drains>
    Given a cell with recorded workers "w1 w2"
    When "w1" <drains> and the owner's process ends
    And the next owner finds "w1" neither listed nor reachable, and "w2" reports
    Then the next owner doesn't know all runs of earlier owners
    And after 5.1 seconds the next owner doesn't know all runs of earlier owners
    And after 6.3 seconds the next owner knows all runs of earlier owners

    Examples:
      | drains                                |
      | drained                               |
      | drained during a write of the workers |

  # Guards against LOST: the next owner counted the recorded leases from its own read of
  # a record that was written long before. Guards against TWICE: from before the write.
  Scenario Outline: The next owner counts recorded leases from <from>
    Given a cell with recorded workers "w1 w2"
    When "w1" drained and the owner's process ends
    And a host reads the record 4 seconds later, whose last answer was <answer> it
    Then it waits for "w1" for <low> to <high> s

    Examples:
      | from                                | answer | low | high |
      | an answer that tells a later write  | after  | 1.0 | 2.3  |
      | its read if no answer was later     | before | 5.0 | 6.3  |

  # Guards against TWICE: an owner after the next one relied on a record of leases that
  # the next one had outlasted.
  Scenario: The next owner records its leases on a draining worker before it grants any
    Given a cell with recorded workers "w1 w2"
    When "w1" drained and the owner's process ends
    And the next owner finds a run on "w1"
    Then it grants "w1" no lease
    When the workers are recorded until nothing is left to record
    Then it grants "w1" a lease of 2 s
    And the record allows "w1" leases of 5 s

  # Guards against TWICE: which worker's clock the record means isn't told.
  Scenario: A draining worker that restarts gets no lease before it is recorded again
    Given a cell with recorded workers "w1 w2"
    When "w1" drained and the owner's process ends
    And the next owner finds a run on "w1"
    And the workers are recorded until nothing is left to record
    And "w1" restarts and has a run
    Then it grants "w1" no lease
    When the workers are recorded until nothing is left to record
    Then it grants "w1" a lease of 2 s

  # Guards against TWICE: a worker that isn't known to drain may restart.
  Scenario: The next owner waits for a worker that left without draining
    Given a cell with recorded workers "w1 w2"
    When the owner's process ends
    And the next owner finds "w1" neither listed nor reachable, and "w2" reports
    Then the next owner doesn't know all runs of earlier owners

  Scenario: A host that gets a takeover notice before it starts a cell doesn't start it
    Given a cell with recorded workers "w1 w2"
    When a host gets a takeover notice while it acquires the cell
    Then the host controls no cell

  Scenario: Progress that exceeds one transaction is recorded in several
    Given a cell with recorded workers "w1 w2"
    When the progress of 120 submissions is recorded
    Then all 120 are recorded after at most 3 transactions

  Scenario: A follower re-reads its table after an outage instead of the change backlog
    Given a cell with recorded workers "w1 w2"
    When a follower that re-reads on failure misses 30 versions of a row
    Then it received only the newest version

  Scenario: Cells are assigned in proportion to processing capacity
    Given a host with capacity 2.1 and 3 hosts with capacity 0.5
    When 5 cells have no owner
    Then the strong host gets 4 of them

  Scenario Outline: A <state> cell is <taken> by a remote host after <seconds> s
    Given a cell with recorded workers "w1 w2" that was <state>
    When a host of another data centre is eligible to acquire it for <seconds> s
    Then it has <taken> the cell

    Examples:
      | state    | seconds | taken     |
      | released | 0.6     | taken     |
      | lost     | 0.6     | not taken |
      | lost     | 2.0     | taken     |

  # Guards against TWICE: runs of a live owner aren't waited for if it's taken for stopped.
  Scenario Outline: A heartbeat <order> the owner row shows that its owner <state>
    Given a cell with recorded workers "w1 w2"
    When another incarnation of the owner's host wrote a heartbeat <order> the owner row
    Then the previous owner <state>

    Examples:
      | order  | state         |
      | before | may still run |
      | after  | has stopped   |

  Scenario: A cell acquired by a commit whose answer was lost is started
    Given a cell with recorded workers "w1 w2" that was released
    When a host acquires it and the answer to its commit is lost
    Then it has taken the cell

  # Guards against LOST: hosts that had restarted waited 18.7 s for the owners before the
  # previous one, although these had restarted too. Against TWICE: one that can't be
  # asked may still run.
  Scenario Outline: All owners that may still run are asked after two takeovers
    Given a cell with recorded workers "w1 w2" that was lost
    And its owner's host <restarts>
    When a host takes it over and is killed, and all hosts restart
    Then it waits for runs of earlier owners for <low> to <high> s

    Examples:
      | restarts        | low | high |
      | restarts        | 6   | 7    |
      | doesn't restart | 18  | 20   |

  # Guards against LOST: a host whose commit's answer was lost asked no earlier owner and
  # waited 18.7 s.
  Scenario Outline: Earlier owners are asked also if the answer to the commit was lost
    Given a cell with recorded workers "w1 w2" that was lost
    And its owner's host <restarts>
    When a host acquires it, and is told of it only by its row
    Then it waits for runs of earlier owners for <low> to <high> s

    Examples:
      | restarts        | low | high |
      | restarts        | 6   | 7    |
      | doesn't restart | 18  | 20   |

  Scenario: A host without cells reads the list of workers rarely
    Given a table of 20 rows that are all written again every 0.1 s
    When a host that needs no changes follows it for 2.0 s, reading it every 10.0 s
    Then it has received at most 60 rows
    When it needs the changes from now on
    Then it has the newest rows within 0.3 s

  Scenario: A host without cells notices soon that the first workers are listed
    Given a table of 0 rows that are all written again every 0.1 s
    When a host that needs no changes follows it for 0.2 s, reading it every 10.0 s
    And 20 rows are added
    Then it has the newest rows within 1.5 s

  # Guards against LOST: the previous owner was asked once only, while it was cut off.
  Scenario: A previous owner that was cut off is asked again until it confirms its stop
    Given a cell with recorded workers "w1 w2"
    When a host takes it over and the previous owner replies to the third request only
    Then runs of the previous owner count as known within 3.0 s

  # Guards against LOST: an owner that found its cell lost by itself forgot its leases.
  Scenario: An owner that dropped a lost cell still tells how long its leases last
    Given a cell with recorded workers "w1 w2"
    When its owner finds that it was lost and then gets the takeover notice
    Then the reply names the leases of "w1 w2"

  # Guards against TWICE: a second scheduler of one epoch doesn't know the first one's runs.
  Scenario: A fenced owner doesn't run its cell again under the same epoch
    Given a cell with recorded workers "w1 w2" that was released
    When a host acquires it and is fenced before it reads the next owner's row
    Then it runs the cell under no epoch twice

  # Guards against LOST: a cell without a next owner stayed without one while the host lived.
  Scenario: A fenced owner acquires its cell again if no other host has
    Given a cell with recorded workers "w1 w2" that was released
    When a host acquires it and is fenced before it reads the next owner's row
    And it looks after its cells again
    Then it owns the cell under a higher epoch

  # Guards against a host that never acquires a cell again: a takeover notice that came
  # while another lost cell was dropped ended the loop.
  Scenario: A takeover notice comes while a host drops the cells that it has lost
    Given a cell with recorded workers "w1 w2"
    When its owner drops two lost cells and gets the notice for the second meanwhile
    Then the host owns no cell

  # Guards against a cell that its owner holds and never runs: an error other than the
  # platform's, while its state was loaded, left it so.
  Scenario: A cell that can't be started because of an unexpected error is released
    Given a cell with recorded workers "w1 w2" that was released
    When a host acquires it and an unexpected error ends its start
    Then the host owns no cell

  # Guards against LOST: the cell stayed that of a host that had left, and its next owner
  # waited for it. A host that leaves during a record doesn't get the answer.
  Scenario: A cell is released although the answer to its last record was lost
    Given a cell with recorded workers "w1 w2"
    When its owner records a done task without an answer and then releases the cell
    Then the cell was released
    And the done task is recorded

  # Guards against TWICE: the next owner waited 6.2 s for a worker that it can't reach, on
  # which a start without an answer might be carried out later and run for 6 s.
  Scenario: The next owner waits for starts that may still be carried out
    Given a cell with recorded workers "w1 w2"
    When its owner gives up a start on "w1", which restarts, and releases the cell
    And a host acquires it
    Then it waits for runs of earlier owners for 18 to 19 s

  # Guards against LOST: hosts that restart in turn each waited for 6.2 s anew for leases of
  # workers that were lost for good.
  Scenario: The wait for leases goes on over hosts that leave in turn
    Given a cell with recorded workers "w1 w2" that was lost
    When a host whose predecessor has stopped acquires it and leaves after 2.0 s
    And the next host acquires the released cell
    Then it waits for runs of earlier owners for 4 to 5 s

  # Guards against TWICE: leases that the owner before last told of were taken for those of
  # the last one, whose release told of none.
  Scenario: Leases granted after an earlier owner's stop are waited for
    Given a cell with recorded workers "w1 w2"
    And it was released with an earlier owner unaccounted for
    When a host acquires it and that earlier owner tells of leases for 0.5 s
    Then it waits for runs of earlier owners for 6 to 7 s

  # Guards against TWICE: an order that has been written goes on after its sender has been
  # cancelled, but the leases that were told left it out.
  Scenario: An owner that is replaced tells of a start that is under way
    Given a cell with recorded workers "w1 w2"
    When its owner is replaced during a start on "w1", which has restarted meanwhile
    Then the lease that it tells for "w1" lasts for 18 to 19 s

  # Guards against TWICE: a cell that had ended with an unexpected error told of no leases, and
  # its next owner waited 6.2 s where a start might be carried out later and run for 6 s.
  Scenario: An owner whose release isn't recorded after a failure tells of its leases
    Given a cell with recorded workers "w1 w2"
    When its owner fails during a start on "w1", which has restarted, and its release is refused
    Then the lease that it tells for "w1" lasts for 18 to 19 s
    And the lease that it tells for "w2" lasts for 6 to 7 s

  # Guards against a released row that replaces that of the next owner.
  Scenario: A cell that another host has acquired isn't released
    Given a cell with recorded workers "w1 w2"
    When another host acquires it and its owner then releases the cell
    Then the cell is that of the other host

  # Guards against LOST: a host took itself for an earlier owner of the cell, waited 18.7 s
  # for its own runs, or ended its epoch.
  Scenario: A host isn't its own earlier owner where earlier owners aren't known
    Given a cell released 10 s ago with runs of unknown owners unaccounted for 20 s
    When a host acquires it, and is told of it only by its row
    Then it waits for runs of earlier owners for 9 to 10 s
    And it runs the cell under the first epoch that it acquired

  # Guards against DRAIN: a change of the workers while the state of a cell was read was
  # passed to the cell with the next change only.
  Scenario: A worker begins to drain while its cell is being started
    Given a cell with recorded workers "w1 w2" that was released
    When a host acquires it and "w1" begins to drain while the progress is read
    Then the cell knows that "w1" is draining

  # Guards against LOST: a cell whose live owner had just acquired it was taken from that
  # owner, since the choice was made before another cell was acquired.
  Scenario: A cell that gets an owner while another one is acquired is left to it
    Given two cells without an owner
    When a host acquires the first while another live host acquires the second
    Then the second cell has that owner

  # Guards against LOST: a host that had released its cells acquired others and ended.
  Scenario: A host that leaves while it acquires a cell acquires no other one
    Given two cells without an owner
    When a host that acquires the first leaves meanwhile
    Then no cell has an owner

  # Guards against TWICE: a heartbeat of its earlier incarnation that the store carried out
  # after the acquisition made hosts take the new owner for stopped.
  Scenario Outline: A restarted host acquires <what> after the heartbeat of its <incarnation> one
    Given a cell with recorded workers "w1 w2" that was released
    When a restarted host knows the heartbeat of its <incarnation> incarnation
    Then it acquires <what>

    Examples:
      | incarnation | what     |
      | earlier     | no cell  |
      | present     | the cell |

  # Guards against TWICE: a second controller of the epoch ran the cell when the store
  # carried out the first one's release; the next owner then asked nobody to stop.
  Scenario: A release that is carried out late doesn't release a cell that runs
    Given a cell with recorded workers "w1 w2" that was released
    When a host acquires it, its start fails and its release has no answer
    And it looks after its cells again
    And the store carries out the release
    Then the host's controller is that of the owner row

  # Guards against LOST: a host waited 18.7 s for runs of its own earlier epoch.
  Scenario: A host that acquires its own cell again doesn't wait for itself
    Given a cell with recorded workers "w1 w2" that was released
    When a host acquires it, its start fails and its release has no answer
    And it looks after its cells again
    Then the host waits for runs of earlier owners for 6 to 7 s

  # Guards against LOST: a host stayed a live owner without the loop that an error had ended.
  Scenario Outline: A host's <loop> goes on after an unexpected error
    When one call of "<call>" of the <loop> of a host fails unexpectedly
    Then it is called again and the failure is counted

    Examples:
      | loop            | call            |
      | cell_follower   | _read_all       |
      | worker_follower | _read_all       |
      | publisher       | publish_if_due  |

  # Guards against LOST: an owner without one of its loops, or with a move that never ends.
  Scenario Outline: A cell is loaded anew after an unexpected error in <task>
    Given a cell with recorded workers "w1 w2" that was released
    When a host acquires it and its scheduler's "<call>" <answer>
    Then it has owned the cell under the next epoch

    Examples:
      | task                  | call                        | answer                  |
      | the plan loop         | plan                        | fails                   |
      | the record loop       | take_batch                  | fails                   |
      | the move loop         | unconfirmed_moved_task_ends | fails                   |
      | the stray-end loop    | stray_ends                  | fails                   |
      | the move of a task    | propose_moves               | names no known task     |

  # Guards against LOST: a change that one cell can't apply was kept from the host's others.
  Scenario: A change that one cell can't apply reaches the host's other cells
    Given a cell with recorded workers "w1 w2"
    When one of the owner's two cells can't apply a change of the workers
    Then the other cell has applied it
    And the cell that can't is to be given up

  # Guards against LOST: a worker stayed unused and its runs without a lease.
  Scenario: A worker is used although one of its reports can't be processed
    Given a cell with recorded workers "w1 w2"
    When the first report of "w1" raises an unexpected error in its owner
    Then the next report of "w1" is processed
    And no lease was asked for between the two

  # Guards against LOST: workers that came back under their ids at other addresses were not
  # used by the present owner, which went on to ask at the earlier ones.
  Scenario Outline: A worker that <returns> is <used>
    Given a cell with recorded workers "w1 w2"
    When "w1" <returns> while its cell has an owner
    Then it is <used>

    Examples:
      | returns                                          | used                           |
      | comes back at another address                    | used and recorded there        |
      | is named at another address by an earlier entry  | asked at its address as before |
