Feature: Requests that wait between admission and dispatch
  A queue releases many requests at once when an upstream becomes free. If requests
  counted from their admission, the bucket would refill while they wait, and the
  upstreams would receive the burst twice.

  Scenario Outline: Requests count when they are dispatched
    Given an allowance of <rate> a second and a burst of 3, <place>
    When 3 requests are admitted and wait for 3 seconds
    And they are dispatched and as many others as possible are admitted
    # Reserved tokens expire after a second, and the bucket does not refill until then:
    # refill at the rate for 2 s is left.
    Then 2 requests were dispatched

    Examples:
      | rate | place                 |
      | 1    | held by this instance |
      | 1    | held by a peer        |

  Scenario: An expired token dispatches no request
    Given an allowance of 1 a second and a burst of 3, held by a peer
    When 3 requests are admitted and wait for 3 seconds
    And the peer stops lending
    Then none of them is dispatched

  Scenario: A reserved token keeps its loan from being settled
    Given an allowance of 1 a second and a burst of 3, held by a peer
    When 3 requests are admitted and wait for 0.05 seconds
    Then a borrow sent before their dispatch settles no loan
    And a borrow sent after their dispatch settles the loan
