Feature: Wire format of peer messages
  Peers of another release, faulty peers and unauthenticated clients send frames to an
  instance. A frame that is not exactly a valid message must raise the codec's own
  error: any other exception would end the instance's connections, and a value of a
  wrong type or range would reach the decisions. A small frame must not exhaust the
  memory either.

  Scenario: Every kind of peer message is decoded as it was sent
    When 400 random messages of all kinds are encoded and decoded
    Then each one is equal to what was sent

  Scenario: Every field of a peer message is encoded
    # A field that the codec omits is decoded as its default, so that a decision such as
    # which loans are settled would use a value that the sender did not set.
    Then the wire format has each field of each message, in its order

  Scenario: Random and damaged peer frames raise only the codec's error
    When 2000 random frames are decoded
    And 2000 damaged frames of valid messages are decoded
    Then nothing but the codec's error was raised

  Scenario: Fields that a newer or older peer adds or leaves out
    Then a heartbeat with three unknown trailing fields is read
    And a heartbeat without its trailing default field is read

  Scenario Outline: A peer message with a wrong value is refused
    When the msgpack value <value> is decoded as a frame
    Then the codec refuses it with "<error>"

    Examples:
      | value                                    | error                      |
      | 7                                        | not msgpack as expected    |
      | []                                       | no kind                    |
      | [99, 1]                                  | unknown kind 99            |
      | [True, 1]                                | expected an integer        |
      | [5]                                      | 0 fields                   |
      | [5, True]                                | expected an integer        |
      | [5, -1]                                  | is not from 0              |
      | [5, "1"]                                 | expected an integer        |
      | [5, [1]]                                 | not msgpack as expected    |
      | [5, {"a": 1}]                            | not msgpack as expected    |
      | [2, b"short"]                            | 5 bytes, allowed are 32    |
      | [7, 1, "", 1, 1]                         | text of 0 characters       |
      | [7, 1, b"atlas", 1, 1]                   | expected a text            |
      | [7, 1, "x" * 1025, 1, 1]                 | text of 1025 characters    |
      | [8, 1, 1, float("nan"), 0.0, True]       | number nan                 |
      | [8, 1, 1, -0.5, 0.0, True]               | number -0.5                |
      | [8, 1, 1, 1.0, 0.0, 1]                   | expected a boolean         |
      | [11, ["u", 9, "s", 1, 0.0]]              | integer 9                  |
      | [3, 1, 1, 0, 0, False, 0.1, [[]] * 5000] | 5000 items                 |
      | [6, 64]                                  | integer 64                 |
      | [10, 1, bytes(1114113)]                  | 1114113 bytes              |

  Scenario Outline: A malicious frame of the largest size allocates little memory
    When a frame of the largest size made of <pattern> is decoded
    Then the codec refuses it
    And at most 4 times the frame's size was allocated

    Examples:
      | pattern               |
      | nested arrays         |
      | empty arrays          |
      | huge array headers    |
      | nested maps           |
      | empty upstream facts  |
      | unknown small fields  |

  Scenario: The largest valid handover stays within its memory bound
    When the largest handover is encoded and decoded
    Then at most 16 MiB were allocated
