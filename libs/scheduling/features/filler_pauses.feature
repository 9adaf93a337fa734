Feature: Pauses of fillers that disturb serving tasks for a moment
  The load pattern: the own load of serving tasks rises for 1.2 s of every 4 s, so that the
  fillers beside them push the tail over its target. A stop takes 0.6 s on average.

  # Guards against work lost by stops and restarts that outlast the disturbance.
  Scenario: Pauses lose less work than stops, and the serving tasks no time
    When 8 fillers of 2.3 s each fill a worker for 30 s, with stops and with pauses
    Then the fillers get at least a quarter more work done with pauses
    And the serving tasks are over their target for no longer with pauses

  # Guards against a task that stays paused instead of running elsewhere.
  Scenario: A filler that stays disturbing is stopped
    When the own load stays high for 10 s beside paused fillers
    Then every filler is stopped within 1.5 s of its pause

  Scenario Outline: Pauses only where a stop takes longer than readings need
    Then pauses with stops of <stop> s and resumptions of <restore> s are <state>

    Examples:
      | stop | restore | state |
      | 0.2  | 0.1     | off   |
      | 0.9  | 0.25    | on    |
