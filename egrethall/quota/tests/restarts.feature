Feature: Allowances while the instances of a large fleet are restarted
  Guards against an allowance that is granted several times while restarted instances
  do not know each other yet, and so select different collectors or none. The demand is
  that of an organisation that sends 9.3 times its usual requests, which are five
  eighths of its rate. With a rate and a burst of 74, up to (5 x 74 + 74) x 1.25 + 20 =
  575 requests are tolerated in 5 s.

  Scenario Outline: Instances of a large fleet are restarted under load
    Given <instances> instances that share a rate and a burst of <rate> at <used>
    And random arrivals and phases with seed <seed>
    When the organisation sends <usual>, then <demand> requests a second and <after> s later <share> % of the instances are restarted within 1 s
    Then no window of 5 s holds more admitted requests than are tolerated
    And from 4 s after the restart at least half of the rate is used

    Examples:
      | instances | used | rate | usual | demand | after | share | seed |
      | 136       | 91   | 74   | 46    | 430    | 2     | 100   | 1    |
      | 136       | 91   | 74   | 46    | 430    | 1     | 100   | 2    |
      | 136       | 91   | 74   | 46    | 430    | 1     | 55    | 3    |
      | 136       | 50   | 30   | 19    | 174    | 1     | 100   | 4    |
      | 136       | 136  | 74   | 46    | 430    | 2     | 100   | 5    |
      | 312       | 70   | 30   | 19    | 174    | 2     | 100   | 6    |
      | 312       | 112  | 46   | 29    | 267    | 1     | 100   | 7    |
      | 312       | 112  | 46   | 29    | 267    | 2     | 0     | 8    |
      | 18        | 18   | 74   | 46    | 430    | 2     | 100   | 9    |

  Scenario Outline: Requests within the allowance are served soon after a restart
    Given <instances> instances that share a rate and a burst of <rate> at <used>
    And random arrivals and phases with seed <seed>
    When the organisation sends <usual>, then <usual> requests a second and 1 s later <share> % of the instances are restarted within 1 s
    Then at most <refused> requests were refused after the restart

    Examples:
      | instances | used | rate | usual | share | seed | refused |
      | 136       | 91   | 74   | 46    | 100   | 1    | 46      |
      | 312       | 112  | 46   | 29    | 100   | 2    | 29      |
      | 312       | 112  | 46   | 29    | 20    | 3    | 6       |
      | 18        | 18   | 74   | 46    | 100   | 4    | 46      |
      | 18        | 18   | 74   | 46    | 10    | 5    | 2       |

  Scenario Outline: The collector of an organisation goes while it sends too much
    Given <instances> instances that share a rate and a burst of <rate> at <used>
    And random arrivals and phases with seed <seed>
    When the organisation sends <usual>, then <demand> requests a second, and its collector <event> <after> s later
    Then no window of 5 s holds more admitted requests than are tolerated
    And from 4 s after the restart at least half of the rate is used

    Examples:
      | instances | used | rate | usual | demand | event | after | seed |
      | 136       | 60   | 42   | 26    | 197    | fails | 1.0   | 1    |
      | 136       | 100  | 42   | 26    | 197    | fails | 1.0   | 2    |
      | 136       | 60   | 42   | 26    | 197    | stops | 1.0   | 3    |
      | 136       | 100  | 42   | 26    | 197    | stops | 0.5   | 4    |
      | 136       | 60   | 74   | 46    | 430    | stops | 3.0   | 5    |
      | 312       | 70   | 30   | 19    | 174    | stops | 1.0   | 6    |
      | 312       | 70   | 30   | 19    | 174    | fails | 2.0   | 7    |
