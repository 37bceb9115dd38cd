Feature: Headers between callers, instances and upstreams
  Guards against API keys and forged headers that reach an upstream, and against
  responses that are misinterpreted.

  Scenario: An upstream receives the organisation and never the API key
    When a caller's request with these headers goes to upstream i-7 for organisation cuka
      | name          | value          |
      | host          | club.example   |
      | x-attempt-id  | 9c41           |
      | x-api-key     | secret-key     |
      | x-tenant      | someone-else   |
      | x_tenant      | someone-else   |
      | x_api_key     | secret-key     |
      | x-deadline-ms | 1200           |
      | connection    | close, x-extra, Host |
      | x-extra       | one connection |
      | accept        | text/plain     |
    Then the upstream receives these headers
      | name                | value        |
      | host                | club.example |
      | x-attempt-id        | 9c41         |
      | accept              | text/plain   |
      | x-deadline-ms       | 750          |
      | x-expected-instance | i-7          |
      | x-tenant            | cuka         |

  Scenario: A public route sends no organisation
    When a caller's request with these headers goes to upstream i-7 for no organisation
      | name     | value        |
      | host     | club.example |
      | x-tenant | someone-else |
    Then the upstream receives these headers
      | name                | value        |
      | host                | club.example |
      | x-deadline-ms       | 750          |
      | x-expected-instance | i-7          |

  Scenario Outline: An upstream's response is decoded
    When an upstream responds with status <status> and header <header>: <value>
    Then the decoded <field> is <meaning>

    Examples:
      | status | header             | value      | field           | meaning |
      | 200    | x-attempt-id       | 9c41       | request_id      | 9c41    |
      | 200    | x-server-signature | 3e1b.07    | signed          | True    |
      | 200    | accept             | x          | signed          | False   |
      | 503    | x-not-executed     | 1          | not_run         | True    |
      | 503    | accept             | x          | not_run         | False   |
      | 421    | x-instance-id      | i-8        | not_run         | True    |
      | 421    | x-instance-id      | i-8        | misdirected     | True    |
      | 200    | content-encoding   | gzip       | encoded         | True    |
      | 200    | x-instance-id      | i-8        | upstream        | i-8     |
      | 200    | x-warmup-ms        | 1500       | cold_seconds    | 1.5     |
      | 200    | x-warmup-ms        | soon       | cold_seconds    | 0.0     |
      | 200    | server-limit       | 2.5        | rate_limit_per_second | 2.5     |
      | 503    | server-limit       | 0          | rate_limit_per_second | 0.0     |
      | 200    | server-limit       | many       | rate_limit_per_second | None    |
      | 200    | server-limit       | -1         | rate_limit_per_second | None    |
      | 200    | server-limit       | nan        | rate_limit_per_second | None    |
      | 200    | server-leaving     | 1          | leaving         | True    |
      | 503    | server-leaving     | 1          | leaving         | True    |
      | 200    | server-leaving     | 0          | leaving         | False   |
      | 503    | retry-after        | 2.5        | retry_after_seconds | 2.5 |
      | 200    | retry-after        | 2          | retry_after_seconds | None |
      | 503    | retry-after        | inf        | retry_after_seconds | None |
      | 503    | retry-after        | Fri, 31 Dec 2027 23:59:59 GMT | retry_after_seconds | None |
      | 200    | keep-alive         | timeout=10 | idle_seconds    | 10.0    |
      | 200    | keep-alive         | max=5      | idle_seconds    | None    |

  Scenario Outline: A load report is decoded, and an invalid one is ignored
    When an upstream responds with status 200 and header x-server-load: <value>
    Then the load report is decoded as <reading>

    Examples:
      | value     | reading                                                                      |
      | 3,1,6     | UpstreamReading(running=3, waiting=1, slots=6, slowness_ratio=1.0)           |
      | 3,1,6,700 | UpstreamReading(running=3, waiting=1, slots=6, slowness_ratio=7.0)           |
      | 3,1       | None                                                                         |
      | 3,x,6     | None                                                                         |
      | 3,-1,6    | None                                                                         |
