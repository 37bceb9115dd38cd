Feature: API keys of callers
  A request must run only for the organisation whose key it carries, and the duration of
  a check must not reveal which key ids exist.

  Scenario: A new key identifies only its own organisation
    Given two organisations with two new keys each
    Then each key has the published form and identifies its own organisation

  Scenario: Altered keys identify no organisation
    Given two organisations with two new keys each
    Then no altered key and no malformed key identifies an organisation

  Scenario: A withdrawn key identifies no organisation
    Given two organisations with two new keys each
    When the key ring is replaced by one without the first key
    Then the first key identifies no organisation and the others identify theirs

  Scenario: Unknown key ids take as many comparisons as known ones
    Given two organisations with two new keys each
    Then a known and an unknown key id both lead to one comparison of 32 bytes
