Feature: Crash quarantine
  A request that crashes every upstream that runs it must not take a service down,
  however often its caller repeats it. Upstreams also crash for other reasons, and the
  requests that were in flight on them must not be refused because of that.

  Scenario Outline: A request that crashes upstreams crashes at most two of the fleet's
    Given 3 instances over the upstreams "a b c d e"
    And every upstream crashes on the request "/bad"
    And <state>
    When the <kind> request "/bad" is sent 9 times, to each instance in turn
    Then the number of crashed upstreams is "2"
    And the last answer is "request-quarantined no"
    And the retry-after is "300.0"
    And each instance has one audit event of the quarantine at revision 7

    Examples:
      | kind           | state                             |
      | non-idempotent | nothing was sent before           |
      | idempotent     | nothing was sent before           |
      | idempotent     | retries and hedges are possible   |

  Scenario: The crash of a busy upstream quarantines nothing
    Given 1 instances over the upstreams "a b c"
    When 50 requests are on "a" while it crashes
    Then the number of suspects is "50"
    When each of them is sent again
    Then the set of answers is "200"
    And the number of answers is "50"
    And the number of suspects is "0"
    And the number of quarantines is "0"

  Scenario: A malformed response does not count as a crash
    Given 1 instances over the upstreams "a b c"
    When a request gets a malformed response
    Then the number of suspects is "0"

  Scenario: Suspects are kept apart
    Given 1 instances over the upstreams "a b c d"
    When 50 requests are on "a" while it crashes
    And all of them are sent again at the same time
    Then the largest number of requests on an upstream is "1"
    And the set of answers is "200, no-upstream no"
    And the number of answers is "50"

  Scenario: A second crash of a busy upstream quarantines only its one suspect
    Given 1 instances over the upstreams "a b"
    When 50 requests are on "a" while it crashes
    And all of them are sent again while "b" crashes
    Then the number of quarantines is "1"

  Scenario Outline: Strikes "<strikes>" lead to quarantine: <expected>
    Given a quarantine
    When the strikes "<strikes>" are reported
    Then the quarantine state of the fingerprint is "<expected>"

    Examples:
      | strikes                       | expected |
      | a                             | False    |
      | a, a                          | False    |
      | a, a alone                    | False    |
      | a, b                          | False    |
      | a, b alone                    | True     |
      | b alone, a                    | True     |
      | a, 59 s later, b alone        | True     |
      | a, 61 s later, b alone        | False    |
      | a, cleared, b alone           | False    |
      | a, b, c, d                    | False    |

  Scenario: A quarantine ends after 300 s
    Given a quarantine
    When the strikes "a, b alone" are reported
    And 301 s pass
    Then the quarantine state of the fingerprint is "False"

  Scenario: Later strikes do not prolong a quarantine
    Given a quarantine
    When the strikes "a, b alone, 200 s later, c alone, d alone" are reported
    And 101 s pass
    Then the quarantine state of the fingerprint is "False"

  Scenario Outline: An instance that starts after "<strikes>" quarantines: <expected>
    Given a quarantine
    When the strikes "<strikes>" are reported
    And a new instance gets the reports of its peer and the strikes "<more>"
    Then the quarantine state at the new instance is "<expected>"

    Examples:
      | strikes                       | more    | expected |
      | a, b alone                    | none    | True     |
      | a, b alone, 149 s later       | none    | True     |
      | a, b alone, 151 s later       | none    | False    |
      | a                             | b alone | True     |
      | a, 61 s later                 | b alone | False    |

  Scenario: Tables of suspects and quarantines are bounded
    Given a quarantine
    When 10000 requests get the strikes "a, b alone"
    And 10000 other requests get the strikes "a"
    Then at most 4096 suspects and 1024 quarantines are kept

  Scenario: Different requests have different fingerprints
    Given a quarantine
    Then requests that differ in one part have different fingerprints
    And moving a byte from the target to the body changes the fingerprint
    And another shared secret gives another fingerprint
