Feature: Taking and borrowing tokens for requests
  A request must not wait longer than 250 ms for a token, must not use a token after its
  loan has expired, and must be refused with the correct reason.

  Scenario: A loan admits the waiting request and later ones
    Given a borrower with one bucket whose holder lends 3 tokens for 0.5 seconds
    When 4 requests arrive one after the other
    Then 4 are admitted with 2 borrows

  Scenario: An unresponsive holder delays a request by 250 milliseconds at most
    Given a borrower with one bucket whose holder never answers
    When a request arrives
    Then it is refused with "allowance-unavailable" after 250 milliseconds
    And the next request is refused with "allowance-unavailable" after 250 milliseconds
    And at most 8 borrows were sent

  Scenario: A deadline limits the wait
    Given a borrower with one bucket whose holder never answers
    When a request with 20 milliseconds left arrives
    Then it is refused with "allowance-unavailable" after 20 milliseconds

  Scenario: A request is admitted from another bucket if a holder is unresponsive
    Given a borrower with two buckets of which one holder never answers
    When a request arrives
    Then it is admitted within 20 milliseconds

  Scenario: A holder without tokens is not asked again before its retry time
    Given a borrower with one bucket whose holder has no token for 0.4 seconds
    When 20 requests arrive within 0.3 seconds
    Then all are refused with "rate-exceeded" after 1 borrow, with the time until the retry
    And a request after 0.4 seconds leads to another borrow

  Scenario: A request is not rate-exceeded because an instance does not hold the shard
    Given a borrower with one bucket whose supposed holder reports not to hold it
    When a request arrives
    Then it is refused with "allowance-unavailable" after 250 milliseconds

  Scenario: No request is refused while a shard moves to another holder
    Given a borrower with one bucket whose supposed holder reports not to hold it
    When a request arrives and the shard has a holder after 30 milliseconds
    Then it is admitted within 80 milliseconds

  Scenario: A loan that has expired on arrival is not used
    Given a borrower with one bucket whose holder lends 3 tokens for 0.01 seconds after 30 milliseconds
    When a request arrives
    Then it is refused

  Scenario: Tokens are not used after their loan has expired
    Given a borrower with one bucket whose holder lends 3 tokens for 0.5 seconds
    When a request arrives and the process pauses for 10 seconds
    Then the next request leads to another borrow

  Scenario: At most one borrow per bucket is in flight
    Given a borrower with one bucket whose holder lends 50 tokens after 10 milliseconds
    When 40 requests arrive at once
    Then 40 are admitted with at most 2 borrows

  Scenario: A cancelled caller takes no token from other callers
    Given a borrower with one bucket whose holder lends 3 tokens for 0.5 seconds after 10 milliseconds
    When 2 requests arrive at once and the first caller is cancelled
    Then the other request is admitted

  Scenario: An organisation without a plan in force is refused
    Given a borrower with one bucket whose holder lends 3 tokens for 0.5 seconds
    When a request of an unknown organisation arrives
    Then it is refused with "allowance-unavailable" after 0 milliseconds

  Scenario: Tokens of a cold upstream are not prefetched
    Given a borrower with one bucket whose holder lends 1 token for 0.1 seconds
    When 3 tokens of the upstream are taken
    Then each was borrowed separately

  Scenario: The next borrow reports settled loans
    Given a borrower with one bucket whose holder lends 3 tokens for 0.5 seconds
    When 4 requests arrive one after the other
    Then the second borrow settles the first loan and reports 3 spent tokens
