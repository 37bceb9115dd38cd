Feature: What a starting entry instance imports
  Guards against modules that only `egrethall serve` needs in the start of an entry
  instance, which costs processor time on machines with a part of a core.

  Scenario Outline: A module of other programs is not imported
    When the modules of an entry instance are imported
    Then <module> is not among them

    Examples:
      | module                         |
      | egrethall.types._peer_messages |
      | egrethall.types._configuration |
      | egrethall.types._calls         |
      | egrethall.configuration._store |
      | egrethall.forwarding._forwarder |
      | prometheus_client              |
      | httpx                          |

  Scenario Outline: A package exports all that it names
    When all names of <package> are looked up
    Then each is found, and an unknown one is refused

    Examples:
      | package                 |
      | egrethall.types         |
      | egrethall.configuration |
      | egrethall.forwarding    |
