Feature: Hedged attempts
  Guards against a failed attempt that hides the response of the other one, and against
  hedging requests that must not run twice.

  Scenario Outline: The first response wins over failures and later responses
    Given an upstream that <first> after <first_ms> ms and a hedged attempt that <second> after <second_ms> ms
    When a repeatable request is sent
    Then the outcome is <outcome> from <winner>

    Examples:
      | first   | first_ms | second  | second_ms | outcome  | winner |
      | answers | 100      | answers | 50        | answered | u-0    |
      | answers | 400      | answers | 50        | answered | u-1    |
      | breaks  | 200      | answers | 100       | answered | u-1    |
      | answers | 300      | breaks  | 50        | answered | u-0    |
      | breaks  | 300      | breaks  | 50        | broken   | u-0    |

  Scenario: A response wins although the other attempt fails at the same time
    Given both attempts end in one event loop cycle, the first with a response, the hedged one without
    When a repeatable request is sent
    Then the outcome is answered from u-0

  Scenario: A request that must not run twice is not hedged
    Given an upstream that answers after 400 ms and a hedged attempt that answers after 50 ms
    When a request that must not run twice is sent
    Then the outcome is answered from u-0
    And no upstream was selected for a hedged attempt

  Scenario Outline: A request is abandoned only if it may run again and has no response
    Given an upstream that answers after <first_ms> ms and a hedged attempt that answers after 600 ms
    And it is abandoned after <abandoned_ms> ms
    When <request> is sent
    Then the outcome is <outcome> from u-0

    Examples:
      | first_ms | abandoned_ms | request                           | outcome   |
      | 300      | 100          | a repeatable request              | abandoned |
      | 50       | 100          | a repeatable request              | answered  |
      | 300      | 100          | a request that must not run twice | answered  |
      | 400      | 250          | a repeatable request              | answered  |
