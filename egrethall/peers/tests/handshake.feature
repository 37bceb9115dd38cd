Feature: Handshake of peers
  Any client can connect to the port for peers. A client that does not know the fleet's
  secret must not become a peer, not even with a replayed or reflected proof, and must
  not be able to exhaust the memory, the tasks or the time of an instance.

  Scenario: A client with another secret does not become a peer
    When a peer with another secret dials
    Then the instance counts one "wrong-secret" and has no peer
    And it has sent no proof of its own

  Scenario: A replayed peer handshake fails
    When the recorded bytes of a valid handshake are sent again
    Then the instance counts one "wrong-secret" and has no peer

  Scenario: A reflected proof does not authenticate a listener
    When an instance dials a listener that reflects the instance's proof
    Then the instance counts one "wrong-secret" and has no peer

  Scenario: An oversized frame before authentication closes the connection
    When an unauthenticated client sends the length of a frame of 4097 bytes
    Then the instance counts one "malformed-handshake" and has no peer
    And the connection was closed within 1.0 s

  Scenario: A silent client is disconnected after the handshake's time limit
    When an unauthenticated client sends nothing
    Then the instance counts one "handshake-timeout" and has no peer
    And the connection was closed within 1.5 s

  Scenario: A client that sends single bytes slowly is disconnected after the same limit
    When an unauthenticated client sends one byte every 0.2 s
    Then the instance counts one "handshake-timeout" and has no peer
    And the connection was closed within 1.5 s

  Scenario: Unauthenticated clients cannot hold more than 64 connections
    When 80 unauthenticated clients connect and send nothing
    Then the instance counts 16 "too-many-unauthenticated"
    And at most 64 were in their handshake and a valid peer connected afterwards

  Scenario: A peer of another protocol version is refused
    When a peer of protocol version 2 dials
    Then the instance counts one "version" and has no peer

  Scenario: A peer that must wait to be dialed is refused
    When the peer "z" dials
    Then the instance counts one "wrong-direction" and has no peer

  Scenario: A listener with an unexpected name is refused
    When an instance dials "x" and a listener named "y" answers
    Then the instance counts one "unexpected-name" and has no peer

  Scenario: Peers with TLS files connect over TLS only
    When two instances with TLS files and one without try to connect
    Then only the two with TLS files are connected

  Scenario: A short peer secret or a missing TLS file is a settings error
    Then a secret of 15 bytes is refused
    And a missing TLS file is refused with its path
