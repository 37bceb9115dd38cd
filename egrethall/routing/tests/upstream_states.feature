Feature: Lifecycle states of upstreams
  An upstream must get no new requests after any single leaving signal, whatever
  the other signals are. An upstream that restarts without notice must not get the full
  load, and late or reordered reports must not mark it as warm again.

  Background:
    Given an instance with 4 warm upstreams

  Scenario: Draining counts although the instance list marks the upstream as live
    When the instance list marks "u0" as live
    And "u0" answers in state "draining"
    Then "u0" is "draining" and gets no new requests
    And the published facts are "u0 draining"
    And the audit trail ends with "u0 warm draining"

  Scenario: Leaving in the instance list counts although the upstream reports warm
    When the instance list marks "u0" as leaving
    And "u0" answers in state "warm"
    Then "u0" is "draining" and gets no new requests

  Scenario: Leaving still counts after the upstream is missing from the instance list
    When the instance list marks "u0" as leaving
    And the instance list is empty
    Then "u0" is "draining" and gets no new requests

  Scenario: An availability zone out of service gets no new requests and returns cold
    When availability zone "a" is taken out of service
    Then "u0" is "draining" and gets no new requests
    And "u1" is "warm" and gets new requests
    When availability zone "a" returns to service
    Then "u0" is "cold" and gets new requests
    And "u0" needs a token

  Scenario: The status shows why an upstream gets no requests
    When availability zone "a" is taken out of service
    And "u0" answers in state "draining"
    And calls to "u1" fail until it is ejected
    Then the status of "u0" is "draining" because of "draining out-of-service"
    And the status of "u1" is "warm" and ejected

  Scenario: One of two leaving signals ends without the other
    When availability zone "a" is taken out of service
    And the instance list marks "u0" as leaving
    And availability zone "a" returns to service
    Then "u0" is "draining" and gets no new requests
    And "u2" is "cold" and gets new requests

  Scenario: A response to a request from before the draining does not end it
    When "u0" answers in state "draining"
    And 0.1 seconds pass
    And "u0" answers in state "warm" after 0.5 seconds
    Then "u0" is "draining" and gets no new requests
    When 0.5 seconds pass
    And "u0" answers in state "warm" after 0.1 seconds
    Then "u0" is "cold" and gets new requests

  Scenario Outline: An upstream turns cold without notice
    When <observation>
    Then "u0" is "cold" and gets new requests
    And "u0" needs a token
    And the published facts are "u0 cold"
    And the audit trail ends with "u0 warm cold"

    Examples:
      | observation                             |
      | "u0" answers with the start id "s2"     |
      | "u0" answers in state "cold"            |
      | a call to "u0" ends with connect-failed |

  Scenario: A cold upstream is published at most twice a second
    When "u0" answers in state "cold" 20 times in one second
    Then 2 or 3 facts are published

  Scenario: An instance without a network does not mark upstreams as cold for all instances
    When calls to all upstreams end with connect-failed
    Then "u3" is "cold" and gets new requests
    And at most 2 facts are published

  Scenario: A late response from an earlier run does not restore its start id
    When "u0" answers with the start id "s2"
    And 0.1 seconds pass
    And "u0" answers with the start id "s1" after 0.5 seconds
    Then "u0" has the start id "s2"

  Scenario: The holder's facts soon after a cold start do not mark the upstream as warm
    When "u0" answers with the start id "s2"
    And the holder reports "u0" as "warm" with start id "s1", read 0.2 seconds ago
    And the holder reports "u0" as "warm" with start id "s2", read 0.0 seconds ago
    Then "u0" is "cold" and gets new requests
    When 1.1 seconds pass
    And the holder reports "u0" as "warm" with start id "s2", read 0.0 seconds ago
    Then "u0" is "warm" and gets new requests

  Scenario: Only the shard's holder marks an upstream as warm
    When "u0" answers in state "cold"
    And 5.0 seconds pass
    And a peer reports "u0" as "warm" with start id "s1", read 0.0 seconds ago
    And "u0" answers in state "warm"
    Then "u0" is "cold" and gets new requests

  Scenario Outline: Cold and draining are accepted from any peer
    When a peer reports "u0" as "<state>" with start id "<start>", read 0.0 seconds ago
    Then "u0" is "<after>" and gets <requests> requests
    And no facts are published

    Examples:
      | state    | start | after    | requests |
      | cold     | s1    | cold     | new      |
      | cold     | s2    | cold     | new      |
      | draining | s1    | draining | no new   |
      | draining | s2    | draining | no new   |

  Scenario: A connection failure at a peer does not end draining
    When "u0" answers in state "draining"
    And a peer reports "u0" as "cold" with start id "s1", read 0.0 seconds ago
    Then "u0" is "draining" and gets no new requests
    When 0.1 seconds pass
    And a peer reports "u0" as "cold" with start id "s2", read 0.0 seconds ago
    Then "u0" is "cold" and gets new requests

  Scenario: Only a fact from the holder that is newer than the draining ends it
    When "u0" answers in state "draining"
    And the holder reports "u0" as "warm" with start id "s1", read 0.0 seconds ago
    And 1.1 seconds pass
    And the holder reports "u0" as "warm" with start id "s1", read 1.5 seconds ago
    Then "u0" is "draining" and gets no new requests
    When the holder reports "u0" as "warm" with start id "s1", read 0.1 seconds ago
    Then "u0" is "cold" and gets new requests
