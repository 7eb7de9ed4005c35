Feature: Election of a cell's leader
  Guards against a cell without a leader, with two leaders, or with a lock that is never released.

  Scenario Outline: A campaign that fails at one step
    Given entries a and b of one cell
    When a campaigns and <failure>
    Then <leader> leads at epoch <epoch> within 2 seconds
    And no other entry leads

    Examples:
      | failure                                          | leader | epoch |
      | nothing fails                                    | a      | 1     |
      | the reply to the lock write is lost              | a      | 1     |
      | the reply to the epoch write is lost             | a      | 1     |
      | the lock write and its check get no reply        | b      | 1     |
      | the epoch write and its check get no reply       | b      | 2     |
      | its records cannot be loaded                     | b      | 2     |

  Scenario: The leader keeps the role while the store is down
    Given entries a and b of one cell
    When a campaigns and nothing fails
    And the store is down for 180 seconds
    Then a has led through the outage
    When the store is back for 3 seconds
    Then one entry leads at epoch 2

  Scenario Outline: The lease is renewed while a new leader loads its records slowly
    Given entries a and b of one cell
    When a needs <seconds> seconds to load its records
    Then a leads at epoch 1 and b has not campaigned

    Examples:
      | seconds |
      | 4       |
      | 30      |

  Scenario: A leader that was suspended past its lease does not answer as the leader
    Given entries a and b of one cell
    When a campaigns and nothing fails
    And a is suspended for 20 seconds
    Then a refuses to answer before any of its timers has run
    And one entry leads at epoch 2 within 3 seconds

  Scenario: Another entry becomes the leader soon after a planned stop
    Given entries a and b of one cell
    When a campaigns and nothing fails
    And a resigns
    Then b leads at epoch 2 within 1 seconds

  Scenario: A higher epoch ends the term
    Given entries a and b of one cell
    When a campaigns and nothing fails
    And a receives a leader record with epoch 7
    Then a is no longer the leader
