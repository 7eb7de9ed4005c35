Feature: Placement of gangs
  Members of a gang are placed close together, and small gangs leave large free blocks whole.

  Scenario Outline: A small gang is placed in the smallest free block that fits it
    Given racks of workers "a a b" with 8 accelerators
    And accelerators "<occupied>" of worker 0 are in use
    When a decision pass runs with a gang of 1 x <accelerators> "worker"
    Then it is placed on accelerators "<placed>" of worker 0

    Examples:
      | occupied | accelerators | placed  |
      | 0,1,2    | 1            | 3       |
      | 0,1      | 2            | 2,3     |
      | 0,1,4    | 1            | 5       |
      | 0        | 4            | 4,5,6,7 |

  Scenario Outline: Members are placed as close together as the adjacency requires
    Given racks of workers "<racks>" with 8 accelerators
    And accelerators "0" of worker <partly_used> are in use
    When a decision pass runs with a gang of <members> x 8 "<adjacency>"
    Then it "<result>" on workers "<workers>"

    Examples:
      | racks       | partly_used | members | adjacency | result | workers |
      | a a b b     | 0           | 2       | rack      | starts | 2,3     |
      | a a b b     | 0           | 3       | rack      | waits  |         |
      | a a b b     | 0           | 3       | any       | starts | 1,2,3   |
      | a a b b     | 0           | 2       | worker    | waits  |         |
      | a a b b c c | 1           | 3       | any       | starts | 0,2,3   |
      | a b c c d d | 1           | 3       | any       | starts | 2,3,4   |

  Scenario: A whole worker is split where its rack has the fewest whole workers
    Given racks of workers "a a a b b b" with 8 accelerators
    And accelerators "0,1,2,3,4,5,6,7" of worker 4 are in use
    When a decision pass runs with a gang of 1 x 2 "worker"
    Then it "starts" on workers "3"

  Scenario: A worker without enough free cores is skipped
    Given racks of workers "a a" with 8 accelerators
    And accelerators "0,1,2,3" of worker 0 are in use
    And all cores of worker 0 are in use
    When a decision pass runs with a gang of 1 x 4 "worker"
    Then it "starts" on workers "1"
