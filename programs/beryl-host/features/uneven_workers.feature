Feature: Uneven workers on a host

  # Guards against deployments that are served otherwise than before without asking.
  Scenario Outline: Settings with <text> switch uneven workers <switch>
    Given the settings of a host with <text>
    Then it learns uneven workers: <switch>

    Examples:
      | text                      | switch |
      | nothing else              | no     |
      | "contracts": null         | no     |
      | "contracts": ["advice"]   | no     |
      | "contracts": ["health"]   | yes    |
      | "uneven_workers": true    | yes    |

  # Guards against a deployment without operator duties that reads or calls for waves.
  Scenario Outline: Settings with <text> use the machine service: <use>
    Given the settings of a host with "machine_service_address": "a:1", <text>
    Then it uses the machine service: <use>

    Examples:
      | text                          | use |
      | "contracts": []               | yes |
      | "operator_duties": null       | yes |
      | "operator_duties": ["upkeep"] | yes |
      | "operator_duties": []         | no  |

  # Guards against herds: other cells and home cell choices saw slow workers as sound.
  Scenario: The published load counts the effective capacity of a slow worker
    Given a cell of two workers of 8000 millicores, of which one runs 4 times as long
    Then its summary has 10000 millicores, 8000 and 2000 of them free

  # Guards against metrics that stay after a cell has gone to another host.
  Scenario: The metrics of a cell end with its ownership
    Given a cell of two workers of 8000 millicores, of which one runs 4 times as long
    Then the metrics tell of 0 workers on probation
    When the host releases the cell
    Then the metrics don't name the cell
