Feature: Shard leases
  At most one instance may act for a shard at any time, even if messages are late,
  lost, duplicated or reordered. A voter must not vote for two holders at once, and a
  vote must not count for longer than its voter keeps it.

  Scenario: A voter votes for one holder of a shard at a time
    Given an instance that has run for 10 seconds
    When a peer requests a shard
    Then another peer gets the vote only after the lease period extended by clock drift

  Scenario: A voter gives no votes right after its start
    Given an instance that has just started
    Then it gives no votes during the lease period extended by clock drift

  Scenario: A voter does not renew a vote for a holder at an older revision
    Given an instance that has run for 10 seconds
    When a peer requests a shard
    And the instance adopts revision 2
    Then the peer's vote is renewed only at revision 2, which the answer states

  Scenario: A voter gives no votes while more instances are listed than allowed
    Given an instance that has run for 10 seconds
    When 6 live instances are listed
    Then it gives no votes and has recorded an audit event
    And it votes again once 5 are listed

  Scenario: A release does not cancel a vote for a later heartbeat
    Given an instance that has run for 10 seconds
    When a heartbeat arrives before a release that was sent earlier
    Then the vote for that heartbeat stays valid

  Scenario: A heartbeat that arrives after a later release gets no vote
    Given an instance that has run for 10 seconds
    When a release arrives before a heartbeat that was sent earlier
    Then the late heartbeat gets no vote and another peer does

  Scenario: Votes are valid from the time at which the heartbeat was sent
    Given an instance that has run for 10 seconds
    When two peers answer its heartbeat 1.5 seconds later
    Then it holds the shard for 0.5 seconds more

  Scenario: An answer that arrives after the lease period is ignored
    Given an instance that has run for 10 seconds
    When two peers answer its heartbeat 2.0 seconds later
    Then it does not hold the shard

  Scenario: Duplicate answers of one peer count once
    Given an instance that has run for 10 seconds
    When one peer answers its heartbeat three times, before and after a restart
    Then it does not hold the shard

  Scenario: Reordered answers do not shorten a lease
    Given an instance that has run for 10 seconds
    When the answers to two heartbeats arrive in the wrong order
    Then it holds the shard for 2.0 seconds more

  Scenario: Answers to heartbeats sent before a release are ignored
    Given an instance that has run for 10 seconds
    When peers answer a heartbeat after the shard was given up
    Then it does not hold the shard

  Scenario: A lease acquired again after its expiry starts a new tenure
    Given an instance that has run for 10 seconds
    When it holds the shard, pauses for 10 seconds and gets it again
    Then the tenure has another number and the end time of the previous one

  Scenario: A renewed lease keeps its tenure
    Given an instance that has run for 10 seconds
    When it renews the lease 20 times, half a second apart, losing one answer each time
    Then the tenure has the same number

  Scenario: A candidate without a majority releases its votes
    Given an instance that has run for 10 seconds
    When only one peer answers its heartbeats for 1 second
    Then it has released the shard and requests it again only after a back-off

  Scenario: The higher instance limit applies until the new revision is settled
    Given an instance that has run for 10 seconds
    When it adopts revision 2 with a limit of 3 instead of 5
    Then it needs 3 votes, and 2 a lease period after a majority confirmed revision 2

  Scenario: A raised instance limit applies immediately
    Given an instance that has run for 10 seconds
    When it holds the shard and adopts revision 2 with a limit of 9 instead of 5
    Then it does not hold the shard

  Scenario: A revision is not settled by stale confirmations
    Given an instance that has just started
    When two peers confirm revision 1 three seconds apart
    Then revision 1 is not settled 10 seconds later

  Scenario: A leaving instance hands over all its shards
    Given an instance that has run for 10 seconds
    When it holds the shard and starts leaving
    Then the shard is due for handover to the next instance and is released only once

  Scenario: A released shard is requested before the next regular heartbeat
    Given an instance that has run for 10 seconds
    When it has sent a heartbeat and a peer releases the shard
    Then its next heartbeat is due within 20 milliseconds

  Scenario: Removing a member changes the preferred holder of its own shards only
    Given 18 members
    When one of them is removed
    Then only its shards change holder, each to the next member in the ranking
