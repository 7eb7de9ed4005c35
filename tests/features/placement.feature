Feature: Placement of gangs
  Gangs stay close together, and small gangs leave large pieces whole.

  Scenario Outline: A small piece comes from the smallest piece that holds it
    Given racks of workers "a a b" with 8 accelerators
    And "<held>" is occupied on worker 0
    When a gang of 1 x <accelerators> "worker" is decided
    Then it gets accelerators "<given>" of worker 0

    Examples:
      | held    | accelerators | given |
      | 0,1,2   | 1            | 3     |
      | 0,1     | 2            | 2,3   |
      | 0,1,4   | 1            | 5     |
      | 0       | 4            | 4,5,6,7 |

  Scenario Outline: Members are kept as close as their adjacency demands
    Given racks of workers "<racks>" with 8 accelerators
    And "0" is occupied on worker <spoiled>
    When a gang of <members> x 8 "<adjacency>" is decided
    Then it "<result>" on workers "<workers>"

    Examples:
      | racks       | spoiled | members | adjacency | result | workers |
      | a a b b     | 0       | 2       | rack      | starts | 2,3     |
      | a a b b     | 0       | 3       | rack      | waits  |         |
      | a a b b     | 0       | 3       | any       | starts | 1,2,3   |
      | a a b b     | 0       | 2       | worker    | waits  |         |
      | a a b b c c | 1       | 3       | any       | starts | 0,2,3   |
      | a b c c d d | 1       | 3       | any       | starts | 2,3,4   |

  Scenario: A whole worker is split where its rack has the fewest whole workers
    Given racks of workers "a a a b b b" with 8 accelerators
    And "0,1,2,3,4,5,6,7" is occupied on worker 4
    When a gang of 1 x 2 "worker" is decided
    Then it "starts" on workers "3"

  Scenario: A worker without the cores is passed over
    Given racks of workers "a a" with 8 accelerators
    And "0,1,2,3" is occupied on worker 0
    And all cores of worker 0 are in use
    When a gang of 1 x 4 "worker" is decided
    Then it "starts" on workers "1"
