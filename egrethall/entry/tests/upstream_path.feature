Feature: Instances without a path to upstreams
  Guards against callers that are refused because they are connected to an instance
  that reaches no upstream, while others could serve them, and against requests that run
  twice, or are counted twice, because they travel through two instances.

  Scenario Outline: Callers of instances that lose the path to all upstreams are served
    Given a linked fleet of 3 entry instances and 4 upstreams
    And entry-0 and entry-1 lose the path to upstreams, and connections <fault>
    When 60 read requests are sent to entry-0 and entry-1, from 1 s later on
    Then at least 58 are answered with status 200
    When 60 trade requests are sent to entry-0 and entry-1
    Then at least 58 are answered with status 200
    And no trade request ran twice, and no read request more often than its route allows

    Examples:
      | fault        |
      | hang         |
      | are reset    |
      | are refused  |
      | live on while new ones are refused |

  Scenario: Requests are refused at once while no instance reaches an upstream
    Given a linked fleet of 3 entry instances and 4 upstreams
    And every instance has lost the path to upstreams
    When 20 trade requests are sent to all instances
    Then each is refused within 0.3 s as upstreams-unreachable on a connection that closes
    And no instance is ready

  Scenario: Requests are sent directly again after the path has returned
    Given a linked fleet of 2 entry instances and 4 upstreams
    And entry-0 has lost the path to upstreams
    When the path returns
    Then within 2 s requests to entry-0 are not forwarded any more
    And no upstream failed in the view of entry-0 since it lost the path

  Scenario: A forwarded request whose instance is killed may have run
    Given a linked fleet of 2 entry instances and 4 upstreams
    And entry-0 has lost the path to upstreams
    And every upstream works for 800 ms
    When a trade request is sent to entry-0 and entry-1 is killed 0.4 s later
    Then it is answered with status 502 and reason outcome-unknown
    And it ran 1 times

  Scenario: A forwarded request does not run at an instance that hung before it began
    Given a linked fleet of 3 entry instances and 4 upstreams
    And entry-0 has lost the path to upstreams
    When entry-1 is paused while 20 trade requests are sent to entry-0
    Then at least 20 are answered with status 200
    And no trade request ran twice, and no read request more often than its route allows

  Scenario: A graceful stop does not interrupt forwarded requests
    Given a linked fleet of 2 entry instances and 4 upstreams
    And entry-0 has lost the path to upstreams
    And every upstream works for 700 ms
    When 4 trade requests are sent to entry-0 and entry-1 gets SIGTERM 0.3 s later
    Then at least 4 are answered with status 200

  Scenario: A forwarded request is charged to the allowance once
    Given a linked fleet of 2 entry instances and 4 upstreams
    And entry-0 has lost the path to upstreams
    When 4 requests within the burst of 4 are sent to entry-0
    Then at least 4 are answered with status 200

  Scenario: A caller that disconnects cancels its forwarded request
    Given a linked fleet of 2 entry instances and 4 upstreams
    And entry-0 has lost the path to upstreams
    And every upstream works for 2000 ms
    When the caller of a read request disconnects after 0.2 s
    Then the upstream cancels the request within 0.5 s

  Scenario: Links that break do not make a request one that crashes upstreams
    Given a linked fleet of 3 entry instances and 4 upstreams
    And every upstream works for 600 ms
    When the same trade request runs through entry-0 and entry-1 while their links break
    And it is sent to entry-2 1 s later
    Then it is answered with status 200

  Scenario: Malformed messages do not stop an instance from serving forwarded requests
    Given a linked fleet of 2 entry instances and 4 upstreams
    And entry-0 has lost the path to upstreams
    When 50 malformed messages are sent to the peer address of entry-1
    And 10 trade requests are sent to entry-0
    Then at least 10 are answered with status 200

  Scenario: Requests in flight when the path is lost run at another upstream if they may
    Given a linked fleet of 2 entry instances and 4 upstreams
    And 60 slow requests have been answered
    And every upstream works for 300 ms
    When 4 slow requests run through entry-0 while it loses the path to upstreams
    Then at least 4 are answered with status 200
