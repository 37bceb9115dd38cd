Feature: Cold starts and probes
  The request rate of an upstream in a cold start must rise only after successes,
  also after failures, restarts and changes of the shard's holder. Probes must stay
  within the rate limit for all instances together.

  Scenario: The rate doubles after each second of successes until the upstream is warm
    Given the holder of cold upstreams
    When "u0" answers successfully for 8 seconds
    Then the rates were "5 10 20 40 80 160 320"
    And "u0" is "warm" and gets new requests

  Scenario: Without responses the rate does not change
    Given the holder of cold upstreams
    When 5 seconds pass without responses
    Then the rates were "5"

  Scenario: A second with a failure does not raise the rate
    Given the holder of cold upstreams
    When "u0" answers successfully for 3 seconds
    And "u0" answers successfully and fails once in each of 2 seconds
    Then the rates were "5 10 20 40"
    And the rate is 40

  Scenario Outline: Observing an upstream to be cold resets the rate at once
    Given the holder of cold upstreams
    When "u0" answers successfully for <seconds> seconds
    And <observation>
    Then the rate is 5
    And "u0" is "cold" and gets new requests

    Examples:
      | seconds | observation                                                            |
      | 4       | "u0" answers in state "cold"                                           |
      | 4       | "u0" answers with the start id "s2"                                    |
      | 4       | a call to "u0" ends with connect-failed                                |
      | 4       | a peer reports "u0" as "cold" with start id "s1", read 0.0 seconds ago |
      | 9       | "u0" answers with the start id "s2"                                    |

  Scenario: Successes and failures at peers count
    Given the holder of cold upstreams
    When a peer reports "u0" as "warming" in each of 3 seconds
    Then the rate is 40
    When a peer reports "u0" as "cold" in each of 2 seconds
    Then the rate is 40
    And the rates were "5 10 20 40"

  Scenario Outline: A new holder without a handover accepts only recent facts
    Given an instance with 4 warm upstreams
    When <wait> seconds pass
    And a peer's heartbeat reports "u0" as "warm" with start id "<start>"
    And <delay> seconds pass
    And the instance becomes the holder
    Then "u0" is "<state>" and gets new requests

    Examples:
      | wait | start | delay | state |
      | 4.0  | s1    | 1.5   | warm  |
      | 4.0  | s1    | 2.5   | cold  |
      | 4.0  | s2    | 0.5   | cold  |
      | 0.0  | s1    | 2.5   | cold  |

  Scenario: A new holder ignores facts sent soon after the upstream was seen cold
    Given an instance with 4 warm upstreams
    When "u0" answers in state "cold"
    And 0.5 seconds pass
    And a peer's heartbeat reports "u0" as "warm" with start id "s1"
    And the instance becomes the holder
    Then "u0" is "cold" and gets new requests

  Scenario: Other instances repeat the last state from a silent holder
    Given an instance with 4 warm upstreams
    When 0.5 seconds pass
    Then its heartbeat contains 0 facts
    When 1.5 seconds pass
    Then its heartbeat contains 4 facts
    When 5.0 seconds pass
    Then its heartbeat contains 0 facts

  Scenario: Facts in a handover keep an upstream warm
    Given an instance with 4 warm upstreams
    When 5.0 seconds pass
    And a handover reports "u0" as "warm"
    And the instance becomes the holder
    Then "u0" is "warm" and gets new requests
    And "u1" is "cold" and gets new requests

  Scenario: Probes of three successive holders stay within the common rate limit
    Given three instances that take turns as the shard's holder
    When the shard changes its holder at random for 60 seconds with seed 5
    Then no second has more than 1 probe of any upstream
    And there are at least 20 probes of each upstream

  Scenario: Recent responses make probes unnecessary
    Given the holder of cold upstreams
    When "u0" answers successfully for 4 seconds
    Then "u0" was not probed and the others were

  Scenario Outline: A probe detects state changes without requests
    Given the holder of cold upstreams
    When "u0" answers successfully for 8 seconds
    And 2 seconds pass without responses
    And probes are answered with <answer>
    Then "u0" is "<state>" and gets <requests> requests

    Examples:
      | answer              | state    | requests |
      | warm with s1        | warm     | new      |
      | warm with s2        | cold     | new      |
      | draining with s1    | draining | no new   |
      | a refusal           | cold     | new      |
      | a broken connection | warm     | new      |
