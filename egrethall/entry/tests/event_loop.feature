Feature: The event loop asks the kernel sparingly
  Guards against sockets that wait behind callbacks, and against a wait that ends
  without a look at the sockets.

  Scenario: Callbacks that follow each other are run with few looks at the sockets
    Given a selector and a socket with bytes to read
    When 27 rounds ask for what is ready at once
    Then 3 of them show the socket, the first one after 8 others

  Scenario: A wait looks at the sockets at once
    Given a selector and a socket with bytes to read
    When a round waits up to 1 s
    Then it shows the socket

  Scenario: A busy loop still reads its sockets
    Given the event loop of an entry instance
    When a callback schedules itself without end while bytes arrive
    Then they are read within 1 s
