Feature: The event loop skips polls while it is busy
  Guards against sockets that starve while callbacks are ready, and against a blocking
  wait that returns without polling the sockets.

  Scenario: Most polls are skipped while callbacks are ready
    Given a selector and a socket with bytes to read
    When the selector is polled 27 times without waiting
    Then 3 polls return the socket, the first one after 8 skipped polls

  Scenario: A blocking wait polls the sockets at once
    Given a selector and a socket with bytes to read
    When the selector is polled with a timeout of 1 s
    Then the poll returns the socket

  Scenario: A busy loop still reads its sockets
    Given the event loop of an entry instance
    When a callback reschedules itself endlessly while bytes arrive
    Then the bytes are read within 1 s
