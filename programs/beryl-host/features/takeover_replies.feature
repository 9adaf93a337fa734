Feature: Only a reply to a takeover notice tells that an earlier owner has stopped

  # Guards against TWICE (issue 58): an answer without the field of the leases, such as that
  # of another process at the owner's address, counted as the owner's stop.
  Scenario Outline: A 200 <what> says nothing of the earlier owner
    When a takeover notice is answered with 200 and <body>
    Then the earlier owner may still run

    Examples:
      | what                | body                                        |
      | of another process  | {"status": "ok"}                            |
      | without any field   | {}                                          |
      | with negative times | {"lease_left_s_by_worker": {"w1": -1000.0}} |

  # Guards against the opposite: a reply without known leases still tells of the stop.
  Scenario: A reply of an owner whose leases aren't known tells of its stop
    When a takeover notice is answered with 200 and {"lease_left_s_by_worker": null}
    Then the earlier owner has stopped
