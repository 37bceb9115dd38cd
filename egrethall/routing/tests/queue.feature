Feature: Fair queue
  A flood of requests from one organisation must not delay the others. A request that
  cannot be served before its deadline must be refused at once, and a request that
  leaves the queue must not leak a slot.

  Scenario Outline: The queue approximates ideal fair queuing
    When 400 requests of 5 organisations are served with seed <seed>
    Then no organisation is ever ahead of ideal fair queuing by more than 3 times the largest cost

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario: A flood by one organisation does not delay the others
    Given a queue with capacity 100 that serves one request at a time in 10 ms
    When "flood" queues 400 requests and "small" queues one every 50 ms
    Then no request of "small" waits more than 30 ms
    And no request of "small" is refused

  Scenario: A full queue makes room for organisations with fewer waiting requests
    Given a queue with capacity 10 that serves one request at a time in 10 ms
    When "flood" queues 30 requests and "small" queues 3
    Then 23 requests of "flood" and 0 of "small" are refused as "overloaded"

  Scenario: Requests that cannot be served before their deadline are refused at once
    Given a queue with capacity 100 that serves one request at a time in 10 ms
    When "atlas" queues 20 requests with 0.100 seconds to their deadlines
    Then 11 requests of "atlas" and 0 of "small" are refused as "overloaded"
    And all refusals come before any time passes

  Scenario: A long download does not count as time until its response begins
    Given a queue with capacity 100 that serves one request at a time in 10 ms
    When calls run for 60 seconds after responses that begin in 10 ms
    And "atlas" queues 1 requests with 5.0 seconds to their deadlines
    Then 0 requests of "atlas" and 0 of "small" are refused as "overloaded"

  Scenario: Organisations share the service time
    Given a queue with capacity 100 that serves one request at a time in 10 ms
    When 40 requests of organisations whose calls take 30 and 10 ms are served
    Then "fast" is served 3 times as often as "slow", within 3

  Scenario: Other requests are served while a skippable request finds no slot
    Given a queue with capacity 100 that serves one request at a time in 10 ms
    When a skippable request of "atlas" is queued before one of "small"
    Then the request of "small" is served first

  Scenario Outline: Cancelled and late requests leak no slots
    Given an instance with 4 warm upstreams
    When 300 calls with seed <seed> are cancelled, time out, fail or succeed at random
    Then no call is in flight and no request is queued
    And the calls in flight never exceeded the slots

    Examples:
      | seed |
      | 21   |
      | 22   |
      | 23   |

  Scenario: A slot granted to a cancelled request is released
    Given an instance with 4 warm upstreams
    When a waiting request is cancelled just as it is granted a slot
    Then all slots are free

  Scenario: Waiting requests are refused when the last upstream leaves
    Given an instance with 4 warm upstreams
    When all slots are taken and availability zones "a" and "b" leave service while a request waits
    Then it is refused as "no-upstream"

  Scenario: An upstream that leaves while a request waits for its token gets no request
    Given an instance with 4 warm upstreams
    When all upstreams turn cold and leave service while a request waits for a token
    Then it is refused as "no-upstream"

  Scenario: A cold upstream gets no request without a token
    Given an instance with 4 warm upstreams
    When all upstreams turn cold and 20 requests arrive while there are 3 tokens
    Then 3 requests are sent and the others are refused as "overloaded"
