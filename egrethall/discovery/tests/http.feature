Feature: HTTP clients of the platform's services
  A response can be malformed, endless or missing. Each such case must raise one of
  the package's exceptions within the time limit, and must not exhaust the memory of a
  small instance.

  Scenario Outline: Responses of the configuration service over HTTP
    When the configuration is read from a server that sends <response>
    Then the result is <result>

    Examples:
      | response                                 | result                                  |
      | 200, x-revision 7, body {"a":1}          | revision 7 with the text {"a":1}        |
      | 304                                      | nothing                                 |
      | 500                                      | PlatformResponseError status 500        |
      | 302 to another server                    | PlatformResponseError status 302        |
      | 200 without x-revision                   | PlatformResponseError x-revision        |
      | 200, x-revision 0, body {}               | PlatformResponseError x-revision is 0   |
      | 200, x-revision -7, body {}              | PlatformResponseError x-revision        |
      | 200, compressed                          | PlatformResponseError compressed        |
      | 200 with an endless body                 | PlatformResponseError 1114112           |
      | 200 with half of its body                | PlatformUnavailableError Error          |
      | something that is not HTTP               | PlatformUnavailableError Error          |
      | nothing                                  | PlatformUnavailableError within         |
      | nothing and closes                       | PlatformUnavailableError Error          |

  Scenario: The platform's request follows the published interface
    When the configuration is watched after revision 41 for 0.2 s
    Then the request was "GET /v1/values/configuration?after=41&wait_seconds=0.2"
    And proxy variables of the environment were not used

  Scenario Outline: Instance lists over HTTP
    When the instance list is read from a body <body>
    Then the result is <result>

    Examples:
      | body                                                | result                                  |
      | {"revision":4,"instances":[I],"later":1}            | listing 4 of a                          |
      | {"revision":4,"instances":[]}                       | listing 4 of                            |
      | {"revision":4,"instances":[I,I]}                    | PlatformResponseError twice             |
      | {"revision":true,"instances":[]}                    | PlatformResponseError instances.revision |
      | {"instances":[]}                                    | PlatformResponseError instances.revision |
      | {"revision":4,"instances":{}}                       | PlatformResponseError list              |
      | {"revision":4,"instances":[7]}                      | PlatformResponseError instances[0]      |
      | {"revision":4,"instances":[{"name":""}]}            | PlatformResponseError instances[0]      |
      | {"revision":4,"instances":[{"state":"gone"}]}       | PlatformResponseError state             |
      | [                                                   | PlatformResponseError not JSON          |
      | DEEP                                                | PlatformResponseError                   |
