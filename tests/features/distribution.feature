Feature: Distribution of the configuration
  An accepted configuration is applied in every region and is never reverted to a lower generation.

  Scenario: Two disconnected regions apply the same generation after they reconnect
    Given the connected entries "north" and "south"
    When the link is cut
    And generation 4 is accepted in "north"
    And 3 s pass
    Then "south" holds generation 0
    When the link is restored
    And 3 s pass
    Then "south" holds generation 4

  Scenario Outline: A document that must not be applied is counted
    Given the connected entries "north" and "south"
    When generation 4 is accepted in "north"
    And "north" receives a <document> document
    Then "north" holds generation 4
    And "north" has counted one <document> document

    Examples:
      | document      |
      | malformed     |
      | lower         |
      | contradicting |

  Scenario: Digests reveal two documents of one generation
    Given the connected entries "north" and "south"
    When the link is cut
    And generation 4 is accepted in "north"
    And generation 4 is accepted in "south" with another nonce
    And the link is restored
    And 2 s pass
    Then "south" has counted at least one contradicting document

  Scenario Outline: An entry whose record is removed is kept while it is connected
    Given the connected entries "north" and "south"
    When the record of "south" is removed by <way>
    Then "north" still knows "south"
    When the link is cut
    And the record of "south" is removed by <way>
    Then "north" no longer knows "south"

    Examples:
      | way         |
      | a deletion  |
      | a full list |

  Scenario: An entry that connects before its record is known is known by its connection
    Given the connected entries "north" and "south"
    When an entry "west" without a record dials "north"
    Then "north" still knows "west"
    And "north" sends digests to "west"

  Scenario Outline: An entry's record is written again
    Given an entry that has announced itself
    When <fault>
    Then the record is written again

    Examples:
      | fault                                                |
      | its record is deleted but its lease is still renewed |
      | its lease has ended while it was suspended           |
      | the reply to its next announcement is lost           |
      | its next announcement does not take effect           |

  Scenario: A watch that stops answering is replaced
    Given an entry that has announced itself
    When its watch stops answering and the configuration changes
    Then the entry sees the change

  Scenario: A planned stop does not announce the entry again
    Given an entry that has announced itself
    When the entry stops announcing itself and its record is deleted
    Then the record stays deleted
