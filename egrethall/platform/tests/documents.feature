Feature: Documents of the platform's store
  Guards against invalid documents from other writers that keep an upstream in use, and
  against configurations that are applied in part.

  Scenario: A configuration is decoded into the project's types
    When the configuration of the store is decoded
    Then its version is 12 and its limits are 16384 bytes and 3.0 s
    And route read leads to catalogue with weight 90 and archive with weight 10
    And route trade is non-idempotent with a timeout of 1.5 s and an objective of 0.5 s
    And organisation cuka has 2 keys, priority 1, rate 58 and burst 58
    And service catalogue takes 11 requests a second while it is cold

  Scenario Outline: A configuration with an invalid field is rejected as a whole
    When the configuration is decoded with <field> set to <value>
    Then it is rejected with an error that names <place>

    Examples:
      | field                                   | value     | place                            |
      | version                                 | "xyz"     | op/config.version                |
      | services                                | 3         | op/config.services               |
      | services.0.health_path                  | null      | op/config.services[0].health_path |
      | limits                                  | null      | op/config.limits                 |
      | limits.idle_timeout                     | "soon"    | op/config.limits.idle_timeout    |
      | virtual_hosts.0.paths.0.kind            | "maybe"   | kind                             |
      | virtual_hosts.0.paths.0.traffic_split   | []        | traffic_split                    |
      | virtual_hosts.0.paths.0.timeout         | 5         | timeout                          |
      | tenants.0.rate_per_s                    | -1        | rate_per_s                       |
      | tenants.0.api_keys                      | "key"     | api_keys                         |

  Scenario: An upstream's document is decoded
    When the document of upstream i-1 is decoded
    Then it is an upstream of catalogue at 10.0.0.9:8080 with 6 slots, cold for 1.5 s

  Scenario Outline: An invalid document withdraws its upstream
    When the document of upstream i-1 is decoded with <field> set to <value>
    Then it is rejected with an error that names servers/i-1
    And the error withdraws upstream i-1

    Examples:
      | field             | value      |
      | state             | "resting"  |
      | service           | 4          |
      | address           | "nowhere"  |
      | address           | "10.0.0.9:99999" |
      | address           | "10.0.0.9:0"     |
      | address           | "nowhere:8080"   |
      | address           | "10.0.0.9:²"     |
      | service           | "a\u0000b" |
      | zone              | "\ud800"   |
      | sequence          | 1e400      |
      | concurrency_limit | -1         |
      | zone              | null       |
      | concurrency_limit | "six"      |
      | warmup_left       | "a while"  |

  Scenario Outline: Numbers and nesting beyond what can be decoded withdraw the upstream
    When the document of upstream <name> is decoded with <extreme>
    Then it is rejected with an error that names servers/<name>
    And the error withdraws upstream <name>

    Examples:
      | name  | extreme                       |
      | i-1   | a sequence of 400 digits      |
      | i-1   | a born of 5000 digits         |
      | i-1   | an address nested 100000 deep |
      | i-1   | a zone nested 900 deep        |
      | i-1.b | a sequence of 400 digits      |

  Scenario: A value that is not JSON withdraws its upstream
    When the bytes ff 00 are decoded as the document of upstream i-1
    Then it is rejected with an error that names servers/i-1
    And the error withdraws upstream i-1

  Scenario Outline: Records are decoded into changes
    When the record <key> is decoded while its key is <state>
    Then the change is <change>

    Examples:
      | key              | state   | change                                                   |
      | op/evacuate/east | there   | ZoneServiceChanged(zone='east', out_of_service=True)     |
      | op/evacuate/east | removed | ZoneServiceChanged(zone='east', out_of_service=False)    |
      | servers/i-1      | removed | UpstreamWithdrawn(name='i-1')                            |
      | my/leader        | there   | None                                                     |
