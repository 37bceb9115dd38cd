@isolated
Feature: Clients that occupy memory and descriptors
  Guards against an instance that ends or hangs because of clients that egrethall does not
  control: many large bodies or responses at once, and more connections than descriptors.
  Most of the clients stop just short of the end and leave their connections open.

  Background:
    Given an entry instance with 100 MB of memory and 512 descriptors

  Scenario Outline: Many large bodies at once
    When <count> clients send bodies of <size> KiB <manner>, all but 4 of them short of the end
    Then the instance lives within its memory and descriptors
    And an ordinary request is answered

    Examples:
      | count | size | manner                     |
      | 20    | 8192 | whole                      |
      | 20    | 8192 | in pieces                  |
      | 20    | 8192 | in chunks of 1048576 bytes |
      | 20    | 3072 | in chunks of 64 bytes      |

  Scenario: Long responses that many clients read slowly
    Given upstreams with responses of 4096 KiB
    When 60 clients ask for them and read slowly
    Then the instance lives within its memory and descriptors
    And an ordinary request is answered

  Scenario: More connections than descriptors
    When 600 clients connect and send nothing
    Then the instance lives within its memory and descriptors
    And an ordinary request is answered

  Scenario: Upstreams stall within long responses
    Given upstreams with responses of 4096 KiB that stall half-way
    When 40 clients ask for them and wait
    Then the instance has at most 40 descriptors within 6 s
    And the instance lives within its memory and descriptors
    And an ordinary request is answered
