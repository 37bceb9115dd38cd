Feature: Selecting the instances that read the record source
  Guards against calls whose number grows with the fleet, and against an availability
  zone without a working reader because the calls of its readers fail.

  Scenario Outline: Two instances of an availability zone read
    Given instances a b c d of an availability zone, of which <answered> reach the source
    When they tell each other which of them read
    Then <readers> read the record source

    Examples:
      | answered | readers |
      | a b c d  | a b     |
      | b c d    | a b c   |
      | c d      | a b c d |
      | none     | a b c d |

  Scenario Outline: An instance that has just started does not read if another one does
    Given instance x, which started <age> s ago and knows of <heard>
    Then reading is <task>

    Examples:
      | age | heard                | task           |
      | 0.5 | nobody               | its own        |
      | 0.5 | reader a of its zone | left to others |
      | 0.5 | reader z of its zone | left to others |
      | 0.5 | a reader elsewhere   | left to others |
      | 2.5 | a reader elsewhere   | its own        |
      | 2.5 | reader a of its zone | its own        |

  Scenario: A reader stops reading and starts again
    When the source responds with all:5 silence changes:7
    And the follower stops reading and starts again
    Then the calls were all after:5 after:5 after:7
    And the cache is complete up to revision 7

  Scenario: An outage is discarded when the instance stops reading
    The outage may affect only this instance, not the ones that read in its place.

    Given a follower during an outage of its source
    When it stops reading
    Then removals are not attributed to an outage
