Feature: Routes
  A caller must not bypass the route of a request by a prefix that ends within a
  segment, by another method, or by a target that an upstream parses as a different
  path.

  Background:
    Given routes "/" open with GET, "/lookup" with GET, "/lookup/archive" with POST

  Scenario Outline: The longest prefix of whole segments decides
    When "<method>" "<target>" is routed
    Then the result is "<result>"

    Examples:
      | method | target               | result                  |
      | GET    | /                    | /                       |
      | GET    | /lookup              | /lookup                 |
      | GET    | /lookup/             | /lookup                 |
      | GET    | /lookup/7?x=../a//b  | /lookup                 |
      | GET    | /l%6fokup/7          | /lookup                 |
      | GET    | /lookups             | /                       |
      | POST   | /lookup/archive/2026 | /lookup/archive         |
      | POST   | /lookup/7            | method not allowed: GET |
      | GET    | /lookup/archive      | method not allowed: POST |

  Scenario Outline: Ambiguous targets are refused
    When "<method>" "<target>" is routed
    Then the result is "refused"

    Examples:
      | method | target                   |
      | GET    | lookup                   |
      | GET    | http://x/lookup          |
      | GET    | /x/../lookup             |
      | GET    | /x/./lookup              |
      | GET    | /x/%2e%2E/lookup         |
      | GET    | /x/.%2e                  |
      | GET    | /x%2flookup              |
      | GET    | /x%5Clookup              |
      | GET    | /x/%252e%252e/lookup     |
      | GET    | /x%252flookup            |
      | GET    | /x/%c0%ae%c0%ae/lookup   |
      | GET    | //lookup                 |
      | GET    | /x/..;a/lookup           |
      | GET    | /;a/lookup               |
      | GET    | /lookup;a/archive        |
      | GET    | /lookup%00               |
      | GET    | /lookup%zz               |
      | GET    | /lookup#a                |
      | GET    | /x\lookup                |

  Scenario: A missing route differs from a method that is not allowed
    Given only the route "/lookup" with GET
    When "GET" "/other" is routed
    Then the result is "no route"

  Scenario: Every accepted target matches the route of its leniently decoded path
    When 3000 targets of random ambiguous parts are routed with seed 11
    Then each accepted target has the route of its normalised path
