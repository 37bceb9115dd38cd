Feature: Requests that wait for an upstream of a full service
  Guards against less urgent requests that are served while more urgent ones of the same
  service are refused, and against probes whose number grows with the waiting requests.
  Upstreams and time are simulated; no network is used. Work takes half, once or twice
  the time that a scenario states.

  Background:
    Given 2 upstreams with 2 slots each that work for 50 ms on a request

  Scenario: The most urgent requests get what becomes free
    When 100 urgent and 100 other requests arrive evenly within 1 s
    Then at least 60 urgent requests are served
    And at most a third as many other requests are served
    And each refused request waited for at most 160 ms

  Scenario: Requests that are served are served in time
    Given 2 upstreams with 4 slots each that work for 50 ms on a request
    And an objective of 125 ms
    When 200 urgent and 200 other requests arrive evenly within 1 s
    Then at least 140 requests are served within the objective
    And at most 20 requests are served later

  Scenario: Probes stay within what upstreams accept from the fleet
    Given upstreams that accept 60 probes per second each
    When 100 urgent and 100 other requests arrive evenly within 1 s
    Then the upstreams got at most 800 probes
    And at least 60 requests are served

  Scenario Outline: The allowance of probes is shared by the instances of the fleet
    Given upstreams of which <upstreams> accept 60 probes per second from <instances> instances
    When an instance probes as long as it is allowed to for 30 s
    Then it sent <least> to <most> probes

    Examples:
      | upstreams | instances | least | most |
      | 30        | 14        | 3000  | 3857 |
      | 126       | 312       | 500   | 726  |

  Scenario: A request that arrives later does not overtake one that waits
    Given requests with priorities 2 1 2 0 wait in a line
    Then their turns come in the order 0 1 2 2 by priority, the longer waiting first
