Feature: Settings, documents and selectors
  Invalid input is rejected with a typed error that names the fault and a remedy.

  Scenario Outline: The error for an invalid document names the position
    When the document <text> is parsed as a job
    Then it is rejected with an error containing "<position>"

    Examples:
      | text                                     | position           |
      | {"job_id": "a", "tasks": 1}              | $.tasks            |
      | {"job_id": 7}                            | $.job_id           |
      | {"job_id": "a", "per_task": {"core": 1}} | $.per_task.core    |
      | {"job_id": "a",                          | JSON with comments |

  Scenario Outline: The error for an invalid job names the fault
    When the document <text> is checked as a job
    Then it is rejected with an error containing "<fault>"

    Examples:
      | text                                                    | fault       |
      | {"job_id": "a/b"}                                       | bad job_id  |
      | {"job_id": "a", "n_tasks": 0}                           | n_tasks     |
      | {"job_id": "a", "run_s": 0}                             | run_s       |
      | {"job_id": "a", "per_task": {"cores": -1}}              | per_task    |
      | {"job_id": "a", "placement": "rack = = 1"}              | can't read  |

  Scenario: Comments and trailing commas are allowed
    When the document {"job_id": "a", /* why */ "n_tasks": 2,} is parsed as a job
    Then it is accepted

  Scenario Outline: Selectors match labels
    Then matching "<selector>" with labels app=cards,owner=none gives <result>

    Examples:
      | selector             | result |
      | *                    | yes    |
      | app=cards            | yes    |
      | app=cards,owner=none | yes    |
      | app!=cards           | no     |
      | owner                | yes    |
      | team                 | no     |
      | team!=a              | yes    |

  Scenario: Rules apply in order and only to matching services
    Then a later rule overrides only the fields that it sets
