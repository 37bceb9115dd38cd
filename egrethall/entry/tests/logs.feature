Feature: Logging never blocks a request
  Guards against requests that wait for a log reader that has stopped reading, and
  against a flood of log lines.

  Scenario: Lines are dropped without delay when the reader stops reading
    Given a pipe that nobody reads
    When 5000 lines of 200 bytes are written within 2 s
    Then some lines are dropped
    When the pipe is read and 10 more lines are written
    Then each received line is complete and the dropped lines are counted

  Scenario: Lines state a time that does not jump with the time of day
    Given log lines that are stamped with the uptime
    When a line is written 2.5 s and another one 4.0 s after the start
    Then the lines state an uptime of 2.500 and 4.000 s

  Scenario: Lines above the rate limit are left out and counted
    Given a limit of 5 lines per second
    When 100 lines are requested in each of 3 s
    Then 15 lines are allowed and 285 are left out
