Feature: Placing a request by fresh readings
  Guards against probes that are asked twice and against requests that wait for readings
  which do not come. Upstreams are scripted; no network is used.

  Scenario: An upstream whose answer is still missing is not asked again
    Given upstreams with these answers to probes
      | upstream | answers after ms | slowness |
      | u-0      | never            | 1.0      |
      | u-1      | 1                | 7.0      |
    And 3 more that answer after 1 ms with slowness 7.0
    When a request is placed 20 times
    Then no upstream was asked twice for the same request

  Scenario: A slow reading brings more upstreams into the choice
    Given upstreams with these answers to probes
      | upstream | answers after ms | slowness |
      | u-0      | 1                | 7.0      |
      | u-1      | 1                | 7.0      |
      | u-2      | 1                | 7.0      |
      | u-3      | 1                | 1.0      |
    When a request is placed 20 times
    Then it went to u-3 at least 19 times

  Scenario: An upstream that hangs holds a request up for a moment only
    Given upstreams with these answers to probes
      | upstream | answers after ms | slowness |
      | u-0      | never            | 1.0      |
      | u-1      | 1                | 1.0      |
    When a request is placed 5 times
    Then each was placed within 200 ms
