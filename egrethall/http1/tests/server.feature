Feature: Requests on a connection from an HTTP client
  Guards against request smuggling, where a request is hidden inside another one, and
  against a truncated request that is accepted as complete.

  Scenario Outline: A request is read or rejected
    When the client sends <request>
    Then the server reads <result>

    Examples:
      | request                                                                     | result           |
      | GET /a/ HTTP/1.1\r\nhost: club.example:80\r\n\r\n                           | GET club.example |
      | POST /a/ HTTP/1.1\r\nhost: b\r\ncontent-length: 2\r\n\r\nok                 | POST b ok        |
      | POST /a/ HTTP/1.1\r\nhost: b\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n | POST b ok |
      | POST /a/ HTTP/1.1\r\nhost: b\r\ncontent-length: 200\r\n\r\n                 | a lost client    |
      | POST /a/ HTTP/1.1\r\nhost: b\r\ncontent-length: 40\r\n\r\n0123456789012345678901234567890123456789 | status 413 |
      | GET /a/ HTTP/1.1\r\nhost: b\r\nhost: c\r\n\r\n                              | status 400       |
      | GET /a/ HTTP/1.1\r\n\r\n                                                    | status 400       |
      | POST /a/ HTTP/1.1\r\nhost: b\r\ncontent-length: 2\r\ncontent-length: 3\r\n\r\nok | status 400  |
      | GET /a/ HTTP/1.1\r\nhost: b\r\nbad header\r\n\r\n                           | status 400       |
      | no request\r\n\r\n                                                          | status 400       |

  Scenario: A pipelined request is read after the response to the previous one
    When the client sends GET /1/ HTTP/1.1\r\nhost: b\r\n\r\nGET /2/ HTTP/1.1\r\nhost: b\r\n\r\n
    Then the server reads GET b
    And after its response the server reads the next request /2/

  Scenario: A client that disconnects after its request is detected
    When the client sends GET /1/ HTTP/1.1\r\nhost: b\r\n\r\n
    Then the server reads GET b
    And it detects within 1 s that the client has disconnected

  Scenario: A client that leaves many pipelined bytes behind is detected
    When the client sends GET /1/ HTTP/1.1\r\nhost: b\r\n\r\n and 200000 further bytes, and disconnects
    Then the disconnect is detected within 0.5 s, after at most 131072 bytes were read

  Scenario: Arrival times are kept for unread data only
    When the client sends POST /a/ HTTP/1.1\r\nhost: b\r\ncontent-length: 30\r\n\r\n and its body byte by byte
    Then the server keeps at most 2 arrival times
