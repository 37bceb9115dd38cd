Feature: The cache of the published records
  Guards against newer records being replaced by older ones, and against removals that
  an instance misses because it reads from another instance.

  In the tables, a=3 is key a written at revision 3, and a-3 its removal at revision 3.

  Scenario Outline: A newer record is never replaced by an older one
    Given the records a=3, b=5 up to revision 5
    When a batch up to revision <revision> contains <records>
    Then the records are <result> up to revision <known>
    And the subscriber receives <heard>

    Examples:
      | revision | records  | result   | known | heard |
      | 7        | a=7      | a=7, b=5 | 7     | a=7   |
      | 4        | a=2      | a=3, b=5 | 5     | none  |
      | 5        | a=3, b=5 | a=3, b=5 | 5     | none  |
      | 7        | b-7      | a=3      | 7     | b-7   |
      | 7        | c-7      | a=3, b=5 | 7     | none  |
      | 8        | b-7, b=8 | a=3, b=8 | 8     | b-7 b=8 |

  Scenario Outline: A snapshot removes the records that it does not contain
    Given the records a=3, b=5 up to revision 5
    When a snapshot at revision <revision> contains <records>
    Then the records are <result> up to revision <known>

    Examples:
      | revision | records  | result   | known |
      | 9        | a=3      | a=3      | 9     |
      | 9        | a=3, c=9 | a=3, c=9 | 9     |
      | 4        | a=3      | a=3, b=5 | 5     |

  Scenario Outline: Another instance that reads the changes catches up
    Given the records a=3, b=5 up to revision 5
    And a batch up to revision 8 contains a-7, c=8
    When an instance at revision <behind> reads the changes
    Then it has the same records

    Examples:
      | behind |
      | 0      |
      | 3      |
      | 5      |
      | 7      |
      | 8      |

  Scenario: An instance that needs evicted tombstones gets a snapshot
    Given the records a=3, b=5 up to revision 5
    And 5000 keys that were added and removed
    When an instance at revision 5 reads the changes
    Then it has the same records
