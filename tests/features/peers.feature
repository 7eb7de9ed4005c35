Feature: A faulty peer is refused and counted, and the process continues to serve other peers
  Guards against messages of a peer that crash, block or mislead a process.

  Scenario Outline: A first message that is refused
    Given a listening peer
    When a connection sends <first> as first message
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
    When an established connection sends <frame>
    Then it is closed and "<event>" is counted
    And a correct peer is still served

    Examples:
      | frame                   | event              |
      | a text frame            | frame_refused      |
      | truncated CBOR          | frame_refused      |
      | an oversized frame      | frame_oversized    |
      | a second Hello          | handshake_repeated |
      | nothing for 3 intervals | peer_silent        |

  Scenario Outline: A refused request leaves the connection open
    Given a listening peer
    When an established connection requests <request>
    Then the reply is "<code>" and "<event>" is counted
    And the same connection is still served

    Examples:
      | request                       | code            | event           |
      | an unknown kind               | unknown_message | message_refused |
      | a known kind, wrong fields    | unknown_message | message_refused |
      | a request whose handler fails | internal_error  | handler_failed  |

  Scenario Outline: A second connection with the same peer id
    Given a listening peer
    When a peer connects twice, the second time with <incarnation> while the first is <state>
    Then the second connection is <result>

    Examples:
      | incarnation         | state  | result   |
      | the same one        | open   | accepted |
      | another incarnation | open   | refused  |
      | another incarnation | closed | accepted |

  Scenario: A peer that does not read its connection is disconnected
    Given a listening peer
    When an established connection does not read 60 MB of replies to its requests
    Then it is closed and "peer_stalled" is counted
    And a correct peer is still served

  Scenario Outline: A reply that no request waits for is dropped and counted
    Given a listening peer
    When the reply to the listening peer's request is sent <reply_pattern>
    Then the request's result is "<result>" and "reply_dropped" is counted
    And a correct peer is still served

    Examples:
      | reply_pattern               | result   |
      | twice                       | first    |
      | after its timeout           | no reply |
      | with an unknown correlation | no reply |
