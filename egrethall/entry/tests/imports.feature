Feature: Modules that an entry instance imports at startup
  Guards against an entry instance that imports modules which only `egrethall serve`
  needs. Imports cost processor time, which is scarce on machines with a part of a core.

  Scenario Outline: A module that only other programs need is not imported
    When the modules of an entry instance are imported
    Then <module> is not imported

    Examples:
      | module                         |
      | egrethall.types._peer_messages |
      | egrethall.types._configuration |
      | egrethall.types._calls         |
      | egrethall.configuration._store |
      | egrethall.forwarding._forwarder |
      | prometheus_client              |
      | httpx                          |

  Scenario Outline: A package with late imports provides every exported name
    When all exported names of <package> are looked up
    Then each is found, and an unknown name raises AttributeError

    Examples:
      | package                 |
      | egrethall.types         |
      | egrethall.configuration |
      | egrethall.forwarding    |
