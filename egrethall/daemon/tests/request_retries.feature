Feature: Idempotent requests are repeated at most once and within the budget

  Guards against storms of retries and hedges, which are bounded by 10 % of an
  instance's calls to the service, and against attempts that get more time than is
  left. Judged by the upstreams' records.

  Background:
    Given the fleet "retries" serves idempotent requests

  Scenario: Answers are lost at one upstream
    Given 300 GETs were sent in 3 seconds without faults
    When 600 GETs are sent in 6 seconds while the upstream with most runs loses each answer
    Then no GET ran more than twice
    And some GETs ran twice, at most the budget of each instance
    And the second run of a GET has less time left than the first

  Scenario: Answers are lost at every upstream
    When 400 GETs are sent in 4 seconds while "*" loses each answer
    Then no GET ran more than twice
    And at most the budget of each instance ran twice
    And every GET that ran is answered with status 502 and run "unknown"

  Scenario: One link is slow
    # Hedges wait for the 95th percentile, which must be low before the link is slow.
    Given 300 GETs were sent in 3 seconds without faults
    When 600 GETs are sent in 6 seconds while the upstream with most runs is 200 ms slower
    Then no GET ran more than twice
    And some GETs ran twice, at most the budget of each instance
    And the runs of a GET differ in the time left
    And every GET is answered whole

  Scenario: The caller's deadline is the upstreams' deadline
    When 90 GETs are sent in 1 seconds without faults
    Then every run began with at most 2000 ms left
    And every GET is answered whole
