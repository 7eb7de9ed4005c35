Feature: A peer that misbehaves is refused and counted, and the process goes on
  Guards against a peer that crashes, blocks or misleads a process by what it sends.

  Scenario Outline: A first message that is refused
    Given a listening peer
    When a connection begins with <first>
    Then it is closed and "<event>" is counted
    And a correct peer is still served

    Examples:
      | first               | event             |
      | a text frame        | handshake_refused |
      | truncated CBOR      | handshake_refused |
      | an oversized frame  | handshake_refused |
      | a Heartbeat         | handshake_refused |
      | a wrong version     | handshake_refused |
      | an empty peer id    | handshake_refused |
      | an unknown kind     | handshake_refused |
      | nothing for 4 s     | handshake_refused |

  Scenario Outline: A later message that closes the connection
    Given a listening peer
    When a greeted connection sends <frame>
    Then it is closed and "<event>" is counted
    And a correct peer is still served

    Examples:
      | frame                   | event              |
      | a text frame            | frame_refused      |
      | truncated CBOR          | frame_refused      |
      | an oversized frame      | frame_oversized    |
      | a second Hello          | handshake_repeated |
      | nothing for 3 intervals | peer_silent        |

  Scenario Outline: A request that is refused on a connection that lives on
    Given a listening peer
    When a greeted connection requests <request>
    Then the reply is "<code>" and "<event>" is counted
    And the same connection is still served

    Examples:
      | request                     | code            | event           |
      | an unknown kind             | unknown_message | message_refused |
      | a known kind, wrong fields  | unknown_message | message_refused |
      | what makes the handler fail | internal_error  | handler_failed  |

  Scenario Outline: A second connection with the same peer id
    Given a listening peer
    When a peer connects twice, the second time with <incarnation> while the first is <state>
    Then the second connection is <result>

    Examples:
      | incarnation         | state  | result   |
      | the same one        | open   | accepted |
      | another incarnation | open   | refused  |
      | another incarnation | closed | accepted |

  Scenario: A peer that does not read is cut off
    Given a listening peer
    When a greeted connection asks for 60 MB of replies and reads nothing
    Then it is closed and "peer_stalled" is counted
    And a correct peer is still served

  Scenario Outline: A reply that no request waits for is dropped and counted
    Given a listening peer
    When the listening peer's request is answered <how>
    Then the request's result is "<result>" and "reply_dropped" is counted
    And a correct peer is still served

    Examples:
      | how                          | result   |
      | twice                        | first    |
      | after its limit              | no reply |
      | under a foreign correlation  | no reply |
