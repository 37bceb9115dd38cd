Feature: Settings of an entry instance
  Guards against an instance that starts with partly invalid settings, and against a
  deploy template that does not match what the instance expects.

  Scenario: The deploy template renders valid settings
    When the deploy template is rendered for instance front-east-a-1
    Then the settings name instance front-east-a-1 in availability zone east-a and 3 seeds
    And the quota window is 5.0 s and the grace period is 6.0 s

  Scenario Outline: An invalid value is rejected with the path of its field
    When the deploy template is rendered with <key> set to <value>
    Then the only fault is at <path>

    Examples:
      | key                       | value         | path                          |
      | node_name                 | null          | $.name                        |
      | listen_addrs.front        | "localhost:1" | $.caller_address              |
      | listen_addrs.ready        | null          | $.ready_address               |
      | seed_nodes                | "10.0.0.1:80" | $.seeds                       |
      | platform.address          | 5             | $.store_address               |
      | bootstrap                 | "yes"         | $.first_start                 |
      | bounds.quota_window       | "5 minutes"   | $.bounds.quota_window         |
      | bounds.quota_excess       | "a quarter"   | $.bounds.quota_excess_ratio   |
      | bounds.retry_budget_ratio | 1.5           | $.bounds.retry_ratio          |
      | bounds.grace              | null          | $.bounds.grace                |
      | bounds.probes_per_s       | -1            | $.bounds.probes_per_second    |

  Scenario: All faults are reported together
    When settings with 2 invalid values and an unknown key are parsed
    Then 3 faults are reported
