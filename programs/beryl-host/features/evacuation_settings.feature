Feature: Settings for evacuations of data centres

  # Guards against a host that starts with limits under which it breaks the deadline or
  # never starts a task.
  Scenario Outline: A deadline of <deadline> and an allowance of <allowance> are rejected
    Given settings with a deadline of <deadline> and an allowance of <allowance>
    Then they are rejected, naming "<field>", "<value>" and a remedy

    Examples:
      | deadline | allowance | field                          | value  |
      | -1       | 6000      | evacuation_deadline_ms         | -1     |
      | 5000     | -0.5      | evacuation_outage_allowance_ms | -0.5   |
      | 400      | 600       | evacuation_deadline_ms         | 400    |

  Scenario Outline: A deadline of <deadline> and an allowance of <allowance> are accepted
    Given settings with a deadline of <deadline> and an allowance of <allowance>
    Then they are accepted, with evacuations: <has_evacuations>

    Examples:
      | deadline | allowance | has_evacuations |
      | 0        | 0         | no              |
      | 0        | 6000      | no              |
      | 5000     | 0         | yes             |
      | 5000     | 6000      | yes             |

  # Guards against a host that doesn't start because a deployment lacks the bound.
  Scenario Outline: The settings template is valid <case> the bound
    Given the settings template, rendered <case> the bound
    Then they are accepted, with evacuations: <has_evacuations>

    Examples:
      | case    | has_evacuations |
      | with    | yes             |
      | without | no              |
