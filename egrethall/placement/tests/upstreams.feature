Feature: Selecting usable upstreams, routes and services
  Guards against sending requests to upstreams that are draining, cold, removed or in an
  availability zone that is out of service, and against dropping running upstreams whose
  entries lapsed during an outage of the record source.

  Scenario Outline: Published entries determine the usable upstreams
    Given upstreams a and b in availability zone east and c in west
    When <event>
    Then the usable upstreams are <usable>

    Examples:
      | event                                    | usable |
      | nothing happens                          | a b c  |
      | upstream a drains                        | b c    |
      | upstream a is removed                    | b c    |
      | zone east is out of service              | c      |
      | zone east is out of service and back     | a b c  |
      | upstream a is removed after an outage    | a b c  |
      | upstream a lapses for 2.1 s              | b c    |
      | upstream a lapses and is published again | a b c  |

  Scenario Outline: A restored record source brings back what had changed since its copy
    Given upstreams a and b in availability zone east and c in west
    When <change>, and the source is restored from a copy without it
    Then the usable upstreams are <first>, and 2.1 s later <later>
    And the usable upstreams 5.1 s later are <last>

    Examples:
      | change                      | first | later | last  |
      | upstream a drains           | b c   | b c   | a b c |
      | upstream a is removed       | b c   | b c   | a b c |
      | upstream a restarts         | a b c | a b c | a b c |
      | zone east is out of service | c     | a b c | a b c |

  Scenario Outline: A restored entry of a removed upstream hides what it publishes later
    Given upstreams a and b in availability zone east and c in west
    When upstream a is removed and restored, and <event> 1 s later
    Then the usable upstreams are <first>, and 2.1 s later <later>
    And the usable upstreams 5.1 s later are <last>

    Examples:
      | event                          | first | later | last  |
      | nothing happens                | b c   | b c   | a b c |
      | upstream a is written anew     | a b c | a b c | a b c |
      | upstream a is removed again    | b c   | b c   | b c   |

  Scenario Outline: What an upstream says in its responses holds for its run
    Given upstreams a and b in availability zone east and c in west
    When upstream a says that it leaves, and <event>
    Then the usable upstreams are <usable>

    Examples:
      | event                               | usable |
      | nothing happens                     | b c    |
      | upstream a is written anew          | b c    |
      | upstream a lapses and is published again | b c |
      | upstream a is removed and published again | b c |
      | upstream a restarts                 | a b c  |

  Scenario: The longest time for which an upstream refuses counts
    Given upstreams a and b in availability zone east and c in west
    When upstream a refuses for 3 s, and 1 s later for 1 s
    Then it is refusing 1.9 s later, and no more 0.2 s after that

  Scenario: A new run of an upstream starts without the failures of the previous run
    Given upstreams a and b in availability zone east and c in west
    When upstream a fails 3 times and restarts
    Then upstream a is not penalized and its failure ratio is 0.0

  Scenario: The same availability zone is preferred, with one place for others
    Given 5 upstreams in availability zone east and 5 in west
    When 3 candidates for availability zone east are chosen 50 times with 1 of others
    Then each time 2 are in availability zone east and 1 in west

  Scenario Outline: Failed or cold upstreams are chosen only if there are too few others
    Given upstreams a and b in availability zone east and c in west
    When upstreams <failed> fail
    And upstreams <cold> are cold
    Then the 2 candidates for availability zone east are <candidates>

    Examples:
      | failed | cold  | candidates |
      | a      | none  | b c        |
      | none   | a     | b c        |
      | b      | a     | b c        |
      | a b    | c     | a b        |
      | a      | b     | a c        |
      | a b c  | none  | a b        |
      | none   | a b c | a b        |

  Scenario: Upstreams that refuse some of their requests are not penalized
    Given upstreams a and b in availability zone east and c in west
    When each upstream refuses a request without running it
    Then no upstream is penalized and each has a failure ratio above 0.2

  Scenario: Penalties grow with consecutive failures and expire
    Given upstreams a and b in availability zone east and c in west
    When upstream a fails 1 times
    Then upstream a is penalized for 0.5 s
    When upstream a fails 2 times
    Then upstream a is penalized for 2.0 s
    When upstream a fails 9 times
    Then upstream a is penalized for 4.0 s

  Scenario Outline: Requests are routed by host and longest path prefix
    When a request for <host> and <target> is routed
    Then its route is <route>

    Examples:
      | host         | target            | route |
      | club.example | /read/x           | read  |
      | club.example | /read/old/x?y=/z/ | old   |
      | club.example | /read/oldest      | read  |
      | club.example | /read             | none  |
      | else.example | /read/x           | none  |
      | club.example | /other/           | none  |

  Scenario: Requests are split between services in proportion to their weights
    When 2000 requests are split between services with weights 90 and 10
    Then the second service gets 8 to 12 of every 100 requests

  Scenario: An instance uses few of many upstreams, and the fleet all of them
    Answers requests of many instances with few requests each, whose connections to the
    upstreams would be closed before they are used again.
    Given 63 instances that have chosen 2 of the 40 upstreams of their availability zone 300 times, the last one of which was added
    Then each instance has chosen at most 12 upstreams
    And each upstream was chosen by some instance
    And no upstream was chosen over 1.6 times as often as on average
