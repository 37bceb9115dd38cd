Feature: Attempts, retries and hedges
  A request that may have run must not run again unless it is idempotent. A refusal
  may say that the request was not run only if that is true. Every ticket must be
  finished exactly once: an unfinished ticket occupies a slot of its upstream for
  ever, and one that is finished twice frees a second slot.

  Background:
    Given a forwarder over the upstreams "a b c"

  Scenario Outline: A request that is not idempotent meets "<behaviour>"
    Given the upstream "a" will "<behaviour>"
    When a request that is not idempotent is forwarded
    Then the answer is "<answer>"
    And the sequence of upstreams is "<sent>"
    And the list of ticket outcomes is "<outcomes>"

    Examples:
      | behaviour         | answer                   | sent | outcomes                |
      | answer            | 200                      | a    | answered                |
      | fail              | 500                      | a    | failed                  |
      | cut               | broken body              | a    | broken                  |
      | refuse connection | 200                      | a b  | connect-failed answered |
      | say not run       | 200                      | a b  | refused answered        |
      | break             | outcome-unknown unknown  | a    | broken                  |
      | time out          | upstream-timeout unknown | a    | timed-out               |

  Scenario Outline: An idempotent request meets "<behaviours>"
    Given the retry budget has tokens
    And the upstream "a" will "<behaviours>"
    When an idempotent request is forwarded
    Then the answer is "<answer>"
    And the sequence of upstreams is "<sent>"
    And the list of ticket outcomes is "<outcomes>"

    Examples:
      | behaviours               | answer                   | sent | outcomes              |
      | break, answer            | 200                      | a a  | broken answered       |
      | break, break             | outcome-unknown unknown  | a a  | broken broken         |
      | break, refuse connection | outcome-unknown unknown  | a a  | broken connect-failed |
      | break, say not run       | outcome-unknown unknown  | a a  | broken refused        |
      | break, time out          | outcome-unknown unknown  | a a  | broken timed-out      |
      | time out                 | upstream-timeout unknown | a    | timed-out             |

  Scenario Outline: A request that may have run is not repeated when <condition>
    Given the retry budget has tokens
    And <condition>
    And the upstream "a" will "break, answer"
    When an idempotent request is forwarded
    Then the answer is "outcome-unknown unknown"
    And the sequence of upstreams is "a"
    And the list of ticket outcomes is "broken"

    Examples:
      | condition                      |
      | the retry budget is empty      |
      | the service is overloaded      |
      | the body is not fully buffered |

  Scenario Outline: Failed attempts of a request are reported as "<answer>"
    Given the upstream "a" will "<a>"
    And the upstream "b" will "<b>"
    And the upstream "c" will "<c>"
    When a request that is not idempotent is forwarded
    Then the answer is "<answer>"
    And the list of failed upstreams is "<sent>"

    Examples:
      | a                         | b                 | c                 | answer                  | sent  |
      | refuse connection         | refuse connection | refuse connection | no-upstream no          | a b c |
      | refuse connection         | say not run       | refuse connection | upstream-refused no     | a b c |
      | say not run               | say not run       | break             | outcome-unknown unknown | a b c |
      | take 1.5 s to say not run | refuse connection | say not run       | upstream-refused no     | a b c |

  Scenario: A refused request is not sent to another upstream under overload
    Given the service is overloaded
    And the upstream "a" will "say not run"
    When a request that is not idempotent is forwarded
    Then the answer is "upstream-refused no"
    And the sequence of upstreams is "a"
    And the upstream with a fully read and closed response is "a"

  Scenario: The timeout of an attempt is the time until the deadline
    Given the upstream "a" will "take 1.5 s to say not run"
    When a request that is not idempotent is forwarded
    Then the list of attempt timeouts is "2.0 0.5"

  Scenario: A request whose deadline passed in the queue is refused as not run
    When a request whose deadline has passed is forwarded
    Then the answer is "overloaded no"
    And the sequence of upstreams is "none"
    And the list of ticket outcomes is "cancelled"

  Scenario: A late request is hedged and the first response is used
    Given the retry budget has tokens
    And 40 requests have been answered
    And the upstream "a" will "hang"
    When an idempotent request is forwarded
    Then the answer is "200"
    And the sequence of upstreams is "a b"
    And the list of ticket outcomes is "cancelled answered"
    And the cancelled upstream is "a"
    And the list of counts is "attempt=42 call=41 hedge-won=1 hedge=1"

  Scenario: The hedge of a slow service does not delay the hedge of a fast one
    When a hedge due in 100 s is added and then one due at once
    Then the number of started hedges is "1"

  Scenario: The first attempt is answered before its hedge
    Given the retry budget has tokens
    And 40 requests have been answered
    And the upstream "a" will "gated answer"
    And the upstream "b" will "hang"
    When an idempotent request is forwarded and "b" is sent its hedge before "a" answers
    Then the answer is "200"
    And the list of ticket outcomes is "answered cancelled"
    And the cancelled upstream is "b"

  Scenario Outline: No hedge is sent when <condition>
    Given the retry budget has tokens
    And 40 requests have been answered
    And <condition>
    And the upstream "a" will "gated answer"
    When an idempotent request is answered only after a hedge is due
    Then the answer is "200"
    And the sequence of upstreams is "a"

    Examples:
      | condition                      |
      | the retry budget is empty      |
      | the service is overloaded      |
      | the body is not fully buffered |

  Scenario: A request that is not idempotent is never hedged
    Given the retry budget has tokens
    And 40 requests have been answered
    And the upstream "a" will "gated answer"
    When a request that is not idempotent is answered only after a hedge is due
    Then the answer is "200"
    And the sequence of upstreams is "a"

  Scenario: An attempt and its hedge that both break have an unknown outcome
    Given the retry budget has tokens
    And 40 requests have been answered
    And the upstream "a" will "gated break"
    And the upstream "b" will "gated break"
    When an idempotent request is forwarded and "b" is sent its hedge before "a" answers
    Then the answer is "outcome-unknown unknown"
    And the list of ticket outcomes is "broken broken"
    And the quarantine state of the request is "True"

  Scenario: A caller that disconnects cancels its attempts
    Given the retry budget has tokens
    And 40 requests have been answered
    And the upstream "a" will "hang"
    And the upstream "b" will "hang"
    When an idempotent request is forwarded and its caller disconnects
    Then the list of ticket outcomes is "cancelled cancelled"

  Scenario: A caller that disconnects during the body finishes the ticket
    When a response is closed after its first piece
    Then the list of ticket outcomes is "cancelled"

  Scenario: Retries do not exceed a tenth of the calls
    Given every upstream will "break"
    When 1000 different idempotent requests are forwarded
    Then at most 1100 attempts were made
    And there are as many attempts as calls and retries
