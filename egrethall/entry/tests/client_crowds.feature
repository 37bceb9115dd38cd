@isolated
Feature: Crowds of clients that do not behave
  Guards against an instance that ends, hangs or exceeds its memory or descriptors because
  of clients that egrethall does not control: hundreds at once, of several kinds, at any of
  its listeners, or behind another instance that forwards their requests. Bytes that the
  instance has received and not read count as its memory.

  Scenario Outline: Hundreds of bodies at once
    Given instances with 80 MB of memory and 1200 descriptors
    When <count> clients send bodies of <size> KiB <manner>, all but 4 short of the end
    Then each instance lives within its memory and descriptors
    And the instance answers an ordinary request

    Examples:
      | count | size | manner                     |
      | 900   | 60   | whole                      |
      | 200   | 1024 | whole                      |
      | 200   | 1024 | in pieces                  |
      | 100   | 2048 | in chunks of 1048576 bytes |
      | 60    | 512  | in chunks of 64 bytes      |

  Scenario: Heads without an end
    Given instances with 80 MB of memory and 1200 descriptors
    When 500 clients send 15 KiB of a head
    Then each instance lives within its memory and descriptors
    And the instance answers an ordinary request

  Scenario: Bytes behind requests that are served
    Given instances with 80 MB of memory and 1200 descriptors
    When 300 clients send 256 KiB behind a request
    Then each instance lives within its memory and descriptors
    And the instance answers an ordinary request

  Scenario: Slow readers that come one after the other
    Given instances with 80 MB of memory and 1200 descriptors
    And upstreams that answer with 4096 KiB
    When 150 clients, one every 30 ms, ask for it and read slowly
    Then each instance lives within its memory and descriptors
    And the instance answers an ordinary request

  Scenario: Clients of several kinds at once
    Given instances with 80 MB of memory and 1200 descriptors
    And upstreams that answer with 4096 KiB
    When clients of all kinds come at once
    Then each instance lives within its memory and descriptors
    And the instance answers an ordinary request

  Scenario Outline: Clients at the other listeners
    Given instances with 80 MB of memory and 600 descriptors
    When <count> clients send <data> to its <listener> address
    Then each instance lives within its memory and descriptors
    And the instance answers an ordinary request
    And the instance says that it is ready

    Examples:
      | count | data                            | listener |
      | 900   | nothing                         | ready    |
      | 900   | nothing                         | metrics  |
      | 900   | nothing                         | peer     |
      | 200   | 500 requests for a page         | metrics  |
      | 20    | 8192 KiB as one message         | peer     |
      | 20    | a forwarded body without an end | peer     |

  Scenario: Slow readers of forwarded responses
    Given instances with 80 MB of memory and 1200 descriptors, of which one reaches no upstream
    And upstreams that answer with 4096 KiB
    When 100 clients, one every 30 ms, ask for it and read slowly
    Then each instance lives within its memory and descriptors
    And the instance answers an ordinary request

  Scenario: Bodies that are forwarded
    Given instances with 80 MB of memory and 1200 descriptors, of which one reaches no upstream
    When 200 clients send complete bodies of 900 KiB
    Then each instance lives within its memory and descriptors
    And the instance answers an ordinary request
