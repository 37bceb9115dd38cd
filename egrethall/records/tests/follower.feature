Feature: Following the record source
  Guards against calls repeated without a pause during an outage of the source, and
  against watches that stop receiving changes, so that the instance lags behind.

  Scenario: A snapshot is read once and changes are watched after it
    When the source responds with all:5 changes:7 changes:9
    Then the calls were all after:5 after:7 after:9
    And the cache is complete up to revision 9

  Scenario: A new snapshot is read after the history was lost
    When the source responds with all:5 lost all:9
    Then the calls were all after:5 all after:9
    And the cache is complete up to revision 9

  Scenario: Calls back off during an outage of the source
    When the source responds with all:5 error error error error error changes:7
    Then the pauses after the errors grew from at least 0.05 to at most 0.8 s
    And the cache is complete up to revision 7
    And the source counts as available

  Scenario: A watch that lags behind other instances is restarted
    When the source responds with all:5 silence changes:7
    And another instance reports revision 7 for 2 s
    Then the calls were all after:5 after:5 after:7
    And the cache is complete up to revision 7

  Scenario: A source whose history is always lost is called without a pause
    When the source responds with all:5 lost all:5 lost all:5 lost all:5 lost all:5 lost all:5 changes:7
    Then the pauses after the errors grew from at least 0.05 to at most 0.8 s
    And the cache is complete up to revision 7
