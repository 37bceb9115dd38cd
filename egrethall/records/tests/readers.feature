Feature: Which instances read the store
  Guards against calls that grow with the fleet, and against a zone in which nobody
  reads because the store turns its readers away.

  Scenario Outline: Two instances of a zone read
    Given the instances a b c d of a zone, of which the store answers <answered>
    When they tell each other who reads
    Then <readers> read the store

    Examples:
      | answered | readers |
      | a b c d  | a b     |
      | b c d    | a b c   |
      | c d      | a b c d |
      | none     | a b c d |

  Scenario Outline: An instance that has just started leaves reading to others
    Given instance x, which started <age> s ago and has heard of <heard>
    Then reading is <task>

    Examples:
      | age | heard                | task           |
      | 0.5 | nobody               | its own        |
      | 0.5 | reader a of its zone | left to others |
      | 0.5 | reader z of its zone | left to others |
      | 0.5 | a reader elsewhere   | left to others |
      | 2.5 | a reader elsewhere   | its own        |
      | 2.5 | reader a of its zone | its own        |

  Scenario: A reader leaves the store to others and takes it up again
    When the source answers all:5 silence changes:7
    And the follower leaves reading to others and takes it up again
    Then the calls were all after:5 after:5 after:7
    And the copy is complete up to revision 7

  Scenario: An outage that only this instance saw is forgotten with the reading
    Given a follower whose source is away
    When it leaves reading to others
    Then removals count as final
