Feature: Changes, outages and stops of entry instances
  Guards against changes that an instance misses while the store turns it away, and
  against requests that a planned stop cuts.

  Background:
    Given a fleet of 2 entry instances and 3 upstreams

  Scenario Outline: An upstream that leaves gets no new work after 2 s
    When <event>
    Then within 2 s both instances stop sending to <upstreams>

    Examples:
      | event                             | upstreams   |
      | upstream u-0 is draining          | u-0         |
      | upstream u-0 is removed           | u-0         |
      | upstream u-0 has a broken entry   | u-0         |
      | upstream u-0 moves to zone west and zone west is taken out | u-0 |

  Scenario: A new version is in force within 2 s
    When version 2 withdraws key cuka-key
    Then within 2 s both instances answer its key with 401
    And an older version 1 does not bring it back

  Scenario Outline: An instance that the store turns away learns from the other
    Given the store meets entry-1 with <fault>
    When version 2 withdraws key cuka-key
    Then within 2 s both instances answer its key with 401

    Examples:
      | fault      |
      | status 503 |
      | status 429 |
      | silence    |

  Scenario: A history that is lost is read anew
    Given the store meets entry-1 with status 503
    And the store meets entry-0 with status 503
    When version 2 withdraws key cuka-key
    And the store forgets its history and answers again
    Then within 4 s both instances answer its key with 401

  Scenario: Broken records cost nothing that was accepted
    When the configuration is replaced by broken bytes
    And upstream u-9 has a broken entry
    Then 10 read requests are answered with status 200
    And each instance logged the reason for op/config and servers/u-9

  Scenario: A stop cuts no request
    Given every upstream works for 600 ms
    When requests are sent to entry-1 without a pause for 6 s and it is stopped after 1 s
    Then every request that it read is answered
    And it is not ready 0.5 s after the signal
    And it ends within 6 s with status 0

  Scenario: A process that starts while a peer answers is ready within 1 s
    When entry-1 is killed and started again
    Then it is ready within 1 s of its first line

  Scenario: An instance that is lost and comes back is logged
    When entry-1 is killed and started again 2 s later
    Then entry-0 logged within 3 s that entry-1 fell silent and joined again

  Scenario: An instance that knows no configuration promises nothing false
    Given the store meets entry-0 with status 503
    And the store meets entry-1 with status 503
    When both instances are killed and started again
    Then they are not ready and refuse with 503 and reason not-configured

  Scenario: Metrics count what was done
    When 10 read requests are sent with key cuka-key
    Then the metrics of both instances count 10 answered requests
