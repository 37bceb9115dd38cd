Feature: Membership of the fleet
  Shards are assigned to instances that are reachable and not leaving. If a silent,
  leaving or replaced instance counted, its shards would have no holder; if the
  platform's list decided, which lags behind, a live instance would lose its shards.

  Background:
    Given the membership of instance "a" with the peers "b", "c" and "d"

  Scenario: A peer is reachable for 1.5 s after its last message
    When 1.4 s pass
    Then the candidates are "a b c d"
    When a message of "b" arrives and 0.2 s pass
    Then the candidates are "a b"

  Scenario: A peer that says it is leaving holds no shards
    When "c" sends a heartbeat that says it is leaving
    Then the candidates are "a b d"

  Scenario: A peer that the platform lists as leaving holds no shards
    When the platform lists "b" as leaving and lacks "c"
    Then the candidates are "a c d"

  Scenario: Peers out of service hold no shards
    When operators take availability zone "zone-d" and instance "a" out of service
    Then the candidates are "b c"
    And this instance wants no shard

  Scenario: The holder of a shard is the peer whose heartbeat claims it
    When "b" claims the shards "5 9"
    And "c" claims the shards "9"
    Then the holder of shard 5 is "b" and that of shard 9 is "c"
    When "b" claims the shards "9"
    And "b" claims the shards ""
    Then no peer claims shard 9 and its assumed holder is the wanted one

  Scenario: A lease of this instance takes precedence over the claims of peers
    When "b" claims the shards "5"
    And this instance holds shard 5
    Then the holder of shard 5 is this instance
    And the successor of shard 5 is the first other instance in its ranking

  Scenario: A claim of a silent peer is ignored
    When "b" claims the shards "5"
    And 1.6 s pass
    Then shard 5 has no known holder

  Scenario: A new run of a peer does not inherit the claims of the old one
    When "b" claims the shards "5"
    And a message of a new run of "b" arrives
    Then the holder of shard 5 is not the old run of "b"

  Scenario: All instances agree on the wanted holders
    Then the wanted shards of all four instances are disjoint and complete
