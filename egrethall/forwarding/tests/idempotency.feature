Feature: Idempotency-Key
  A request that a caller repeats with the same Idempotency-Key must not run twice,
  whichever instance receives it, also while the key's shard moves between instances.
  If an instance cannot tell whether it ran before, it must refuse the request.

  Background:
    Given the instances "x y z": shard holder "x", successor "y"

  Scenario: The successor has a copy before the first request runs
    When "z" forwards a request with the key "k1"
    Then the caller's answer is "201"
    And "y" had a copy when the request ran

  Scenario: A repeated request while the first request runs
    When "z" forwards a request with the key "k1" and "y" repeats it
    Then the answer to the repeated request is "idempotency-in-progress no"
    And the number of runs is "1"

  Scenario Outline: A repeated request after the first request ended with "<outcome>"
    Given the first request will end with "<outcome>"
    When "z" forwards a request with the key "k1"
    And "<entry>" forwards a request with the key "k1"
    Then the caller's answer is "<answer>"
    And the number of runs is "<runs>"

    Examples:
      | outcome         | entry | answer                     | runs |
      | 201             | z     | idempotency-already-run no | 1    |
      | 500             | x     | idempotency-already-run no | 1    |
      | outcome-unknown | y     | idempotency-already-run no | 1    |
      | upstream-failed | y     | idempotency-already-run no | 1    |
      | no-upstream     | y     | 201                        | 2    |

  Scenario: Other organisations, other keys and idempotent requests do not collide
    When "z" forwards a request with the key "k1"
    And "z" forwards a request with the key "k2"
    And "z" forwards a request with the key "k1" for another organisation
    And "z" forwards an idempotent request with the key "k1"
    Then the number of runs is "4"

  Scenario Outline: A key that cannot be checked is refused when <fault>
    Given <fault>
    When "z" forwards a request with the key "k1"
    Then the caller's answer is "allowance-unavailable no"
    And the number of runs is "0"

    Examples:
      | fault                                            |
      | no instance holds the shard                      |
      | "x" does not answer                              |
      | "y" does not answer                              |
      | "x" loses the shard while it sends the copy      |
      | the table of "x" is full                         |
      | the table of "y" is full                         |

  Scenario: A full table keeps its records
    Given "z" forwards a request with the key "k1"
    And the table of "x" is full
    When "z" forwards a request with the key "k1"
    Then the caller's answer is "idempotency-already-run no"

  Scenario: The successor refuses repeats after the holder was lost
    Given "z" forwards a request with the key "k1"
    When "x" is lost and "y" holds all shards
    And "z" forwards a request with the key "k1"
    Then the caller's answer is "idempotency-already-run no"

  Scenario: A handover transfers the records, also to an instance without copies
    Given "z" forwards a request with the key "k1"
    When "x" hands all shards over to "z"
    And "y" forwards a request with the key "k1"
    Then the caller's answer is "idempotency-already-run no"

  Scenario: A shard grants nothing between its export and the end of its lease
    When "x" exports all shards
    And "x" forwards a request with the key "k1"
    Then the caller's answer is "allowance-unavailable no"

  Scenario: An outcome that reaches the old holder is passed on to the next
    When "x" exports all shards to "y" while a request with the key "k1" runs
    And "x" is lost and "y" holds all shards
    And "z" forwards a request with the key "k1"
    Then the caller's answer is "idempotency-already-run no"

  Scenario: A caller that disconnects before the request was sent frees its key
    When a caller disconnects while "z" reserves the key "k1"
    And "z" forwards a request with the key "k1"
    Then the caller's answer is "201"

  Scenario: A caller that disconnects later leaves the outcome unknown
    When a caller disconnects while the request with the key "k1" runs
    And "z" forwards a request with the key "k1"
    Then the caller's answer is "idempotency-already-run no"

  Scenario: Records are kept for 10 minutes
    Given "z" forwards a request with the key "k1"
    When 599 s pass for the records
    And "z" forwards a request with the key "k1"
    Then the caller's answer is "idempotency-already-run no"
    When 2 s pass for the records
    And "z" forwards a request with the key "k1"
    Then the caller's answer is "201"

  Scenario Outline: No key runs twice while shards move, seed <seed>
    When 400 requests with 40 keys are sent while shards move, seed <seed>
    Then no key ran twice
    And at least 30 keys ran

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
