Feature: Loans and handovers of token buckets
  A token must never be usable twice: not through a repeated or late borrow, not through
  a settlement after the loan's expiry, not through an old or repeated handover.

  Scenario: A repeated borrow gets nothing
    Given a held bucket with 10 tokens per second and a burst of 10 that is full
    When the same borrow of 4 tokens arrives twice
    Then only the first gets tokens, and the level is 6 with 4 lent

  Scenario: A borrow that arrives out of order gets nothing
    Given a held bucket with 10 tokens per second and a burst of 10 that is full
    When borrow 2 arrives before borrow 1
    Then only borrow 2 gets tokens

  Scenario: A bucket does not refill in place of lent tokens until they expire
    Given a held bucket with 10 tokens per second and a burst of 10 that is full
    When a peer borrows 10 tokens for 0.25 seconds
    Then the bucket refills only after the loan has expired

  Scenario: A bucket refills as soon as loans are settled
    Given a held bucket with 10 tokens per second and a burst of 10 that is full
    When a peer borrows 10 tokens for 0.25 seconds
    And it settles that loan 0.1 seconds later
    Then the bucket has 1 token 0.1 seconds after that

  Scenario: A late settlement does not end a newer loan
    Given a held bucket with 10 tokens per second and a burst of 10 that is full
    When a loan expires, another is made, and the settlement of the first arrives
    Then the tokens of the newer loan still count as lent

  Scenario: A loan expires before the lease
    Given a held bucket with 10 tokens per second and a burst of 10 that is full
    When a peer borrows 1 token 0.02 seconds before the lease ends
    Then the loan expires before the lease, and nothing is lent after the lease

  Scenario: A holder without a handover starts with empty buckets and waits
    Given a newly held bucket with 10 tokens per second and a burst of 10
    Then it does not refill for the longest validity of a loan and then refills at its rate

  Scenario Outline: A handover applies only if it is recent: <case>
    Given a handed-over bucket of 7 tokens with 2 lent, made <age> seconds before the lease
    When the handover arrives <arrival> seconds after the lease began
    Then the bucket has <level> tokens right after that

    Examples:
      | case            | age | arrival | level |
      | in advance      | 0.4 | -0.1    | 7     |
      | after the lease | 0.4 | 0.2     | 7     |
      | too old         | 1.1 | -0.1    | 0     |
      | too late        | 0.4 | 1.1     | 0     |

  Scenario: A repeated handover applies once
    Given a handed-over bucket of 7 tokens with 2 lent, made 0.4 seconds before the lease
    When the handover arrives, 5 tokens are used, and it arrives again
    Then the bucket has 2 tokens right after that

  Scenario: A handover created before this instance's last tenure does not apply
    Given a handed-over bucket of 7 tokens with 2 lent, made 0.4 seconds before the lease
    When the instance held the shard itself 0.3 seconds before the lease
    And the handover arrives 0.1 seconds after the lease began
    Then the bucket has 0 tokens right after that

  Scenario: Buckets that were handed over cannot be used
    Given a held bucket with 10 tokens per second and a burst of 10 that is full
    When it is handed over with 4 tokens lent
    Then the state says 6 tokens and 4 lent
    And the instance takes and lends nothing although the lease still runs

  Scenario: The rate of a warming upstream applies until the tenure ends
    Given an upstream with a cold rate of 5 and a burst of 1 whose shard is held
    When its rate is set to 40
    Then it gets 40 tokens per second
    And after another acquisition it gets 5 tokens per second
