Feature: The operators' interface
  Operators and the platform's load balancer act on what an instance reports about
  itself. The interface must respond in every state of the instance and must never
  expose a caller's key.

  Background:
    Given the operators' interface of an instance

  Scenario Outline: Each path returns its status and content
    When operators get <path>
    Then the status is <status> and the body contains <text>

    Examples:
      | path                 | status | text                                                 |
      | /healthz             | 200    | "healthy": true                                      |
      | /readyz              | 200    | "ready": true                                        |
      | /state               | 200    | "confirmed_age_seconds": null                        |
      | /state               | 200    | "state": "warming"                                   |
      | /metrics             | 200    | egrethall_configuration_revision 7.0                 |
      | /metrics             | 200    | egrethall_upstream_state{service="lookup",state="warming",upstream="lookup-1"} 1.0 |
      | /metrics             | 200    | egrethall_queue_length{service="lookup"} 1.0         |
      | /metrics             | 200    | egrethall_leases_held 2.0                            |
      | /explain/atlas       | 200    | "rate-exceeded": 2                                   |
      | /explain/zephyr      | 404    | no organisation is named 'zephyr'                    |
      | /audit?limit=0       | 400    | an integer from 1 to 1000                            |
      | /audit?limit=²       | 400    | an integer from 1 to 1000                            |
      | /audit?count=5       | 400    | known: limit, kind                                   |
      | /                    | 404    | /explain/ORGANISATION                                |

  Scenario: An instance that is not ready reports the reason
    Given the instance is not ready because "no configuration yet"
    When operators get /readyz
    Then the status is 503 and the body contains no configuration yet

  Scenario: The interface is read-only
    When operators send POST to /state
    Then the status is 405 and the body contains only reads

  Scenario: The health check succeeds while the state cannot be read
    Given the state of the instance cannot be read
    When operators get /state
    Then the status is 500 and the body contains see the instance's log
    When operators get /healthz
    Then the status is 200 and the body contains "healthy": true

  Scenario: No path exposes a key
    Given keys in the audit trail, a readiness reason, a remark and a metric
    When operators get every path
    Then no response and no log line contains the key

  Scenario: The audit trail keeps the newest events
    Given 1005 audit events of two kinds
    When operators get /audit?limit=2&kind=odd
    Then the events 1005 and 1003 are shown, with their times
    And 1000 events are kept and 1005 lines were logged

  Scenario: Requests are counted by organisation, service and outcome
    When calls and refusals of "atlas" are recorded
    Then the tally is 5 calls, 3 admitted, and 2 refusals for "rate-exceeded"
    And the metrics count 2 "2xx", 1 "overloaded" and 2 "rate-exceeded"
