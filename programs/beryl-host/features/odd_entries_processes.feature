Feature: Host processes beside odd entries
  Real host processes run against a stand-in that implements the platform's protocol.

  # Guards against LOST and against processes that fail again and again: connecting to a
  # worker at the port 99999 raised an unexpected error four times a second, and its rack
  # made a cell.
  Scenario: Submissions finish beside odd entries, also after a takeover
    Given 2 hosts on the stand-in platform with 3 workers
    And odd entries stand among the workers, in the same rack and in others
    When 6 submissions are sent to different hosts
    And the owner of the cell gets SIGKILL
    Then every host reports every submission as done
    And 30 tasks are done and none ran twice
    And no host has logged an unexpected error or owns a cell of an odd rack
