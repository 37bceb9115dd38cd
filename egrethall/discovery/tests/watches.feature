Feature: Watches of the platform's values
  A watch that calls without a pause overloads the platform for the whole fleet; one
  that ends, or accepts old revisions from a stale service, leaves withdrawn keys
  valid. Each test ends with one further call after the scripted responses, which is
  counted too.

  Scenario Outline: A watch delivers increasing revisions only
    Given the revision in force is <in force>
    When the configuration service responds <responses>
    Then the revisions <delivered> were delivered
    And the watch requested revisions above <after>
    And the watch counted <counted>

    Examples:
      | in force | responses                   | delivered | after     | counted                             |
      | 0        | 25:none 3:4 9:6             | 4 6       | 0 0 4     | new_revisions=2 early_answers=0     |
      | 0        | 3:4 0:3 0:2 9:5             | 4 5       | 0 4 4 4   | lower_revisions=2 new_revisions=2   |
      | 0        | 3:4 0:4 0:4 25:none         | 4         | 0 4 4 4   | repeated_revisions=2                |
      | 7        | 0:5 25:none 9:8             | 8         | 7 7 7     | lower_revisions=1 new_revisions=1   |
      | 0        | 0:error 3:4 0:error 25:none | 4         | 0 0 4 4   | errors=2 calls=5                    |

  Scenario Outline: A watch always pauses after an error or an early response
    When the <service> gives 40 times the response <response>
    Then it paused 40 times for 0.1 to 1.5 s
    And the longest pause exceeded 0.75 s and no two were equal

    Examples:
      | service               | response |
      | configuration service | 0:error  |
      | configuration service | 0:none   |
      | instance list         | 0:error  |
      | instance list         | 0:none   |

  Scenario: A change is read within 8 s of the end of an outage without answers
    When each of 40 calls of an instance fails for lack of an answer
    Then a call that began just before the end of the outage and the next one take at most 8 s

  Scenario: Successive new revisions are fetched with a pause of at most 0.2 s
    When the configuration service gives 20 new revisions at once
    Then 20 revisions were delivered
    And it paused 20 times for 0.1 to 0.2 s

  Scenario: A watch does not pause after a full wait
    When the instance list gives 5 times the response 25:none
    Then it paused 0 times for 0.1 to 1.5 s
    And the last confirmation is 0 s old

  Scenario: An exception of the receiver does not end a watch
    Given a receiver that raises an exception
    When the configuration service responds 3:4 3:5
    Then the watch counted receiver_errors=2 new_revisions=2
