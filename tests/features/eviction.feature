Feature: Eviction of borrowed work
  Urgent jobs and jobs inside guarantees evict borrowed work, the cheapest first.

  Background:
    Given racks of workers "a a a" with 8 accelerators
    And team "red" has a guarantee of 1 instances of 1 x 8 "worker"

  Scenario Outline: The job with the least lost work is evicted
    Given borrowed jobs run with these sizes, ages and checkpoints
      | job   | worker | accelerators | age_s | checkpointable |
      | old   | 0      | 8            | 9000  | no             |
      | young | 1      | 8            | <young_s> | no         |
      | saved | 2      | 8            | 9000  | <saved>        |
    When an urgent gang of 1 x 8 of team "green" is decided
    Then "<victim>" is evicted and nothing else

    Examples:
      | young_s | saved | victim |
      | 600     | no    | young  |
      | 600     | yes   | saved  |
      | 10      | yes   | young  |

  Scenario Outline: Only urgent and guaranteed jobs evict
    Given borrowed jobs run with these sizes, ages and checkpoints
      | job | worker | accelerators | age_s | checkpointable |
      | a   | 0      | 8            | 100   | no             |
      | b   | 1      | 8            | 100   | no             |
      | c   | 2      | 8            | 100   | no             |
    When <kind> gang of 1 x 8 of team "<team>" is decided
    Then <count> jobs are evicted

    Examples:
      | kind      | team  | count |
      | an urgent | green | 1     |
      | a normal  | red   | 1     |
      | a normal  | green | 0     |

  Scenario: Guaranteed work is never evicted
    Given team "red" runs a gang of 1 x 8 inside its guarantee
    And borrowed jobs run with these sizes, ages and checkpoints
      | job | worker | accelerators | age_s | checkpointable |
      | b   | 1      | 8            | 100   | no             |
      | c   | 2      | 8            | 100   | no             |
    When an urgent gang of 3 x 8 of team "green" is decided
    Then 0 jobs are evicted

  Scenario: An eviction that runs is not asked for twice
    Given borrowed jobs run with these sizes, ages and checkpoints
      | job | worker | accelerators | age_s | checkpointable |
      | a   | 0      | 8            | 100   | no             |
      | b   | 1      | 8            | 100   | no             |
      | c   | 2      | 8            | 100   | no             |
    When an urgent gang of 1 x 8 of team "green" is decided
    And the same queue is decided again
    Then 1 jobs are evicted

  Scenario: A guaranteed job moves its home to free accelerators before it evicts
    Given borrowed jobs run with these sizes, ages and checkpoints
      | job | worker | accelerators | age_s | checkpointable |
      | a   | 0      | 8            | 100   | no             |
      | b   | 1      | 8            | 100   | no             |
    When a normal gang of 1 x 8 of team "red" is decided
    Then 0 jobs are evicted
    And the gang starts as "guaranteed" work

  Scenario: A job beyond the guarantee borrows
    Given team "red" runs a gang of 1 x 8 inside its guarantee
    When a normal gang of 1 x 8 of team "red" is decided
    Then the gang starts as "borrowed" work

  Scenario: Evicted urgent work does not take the place from the job it was evicted for
    Given an urgent gang of 1 x 8 of team "green" runs on worker 0
    And borrowed jobs run with these sizes, ages and checkpoints
      | job | worker | accelerators | age_s | checkpointable |
      | b   | 1      | 8            | 100   | no             |
      | c   | 2      | 8            | 100   | no             |
    When a normal gang of 1 x 8 of team "red" is decided
    And the evicted job stops and both wait
    Then the gang starts as "guaranteed" work

  Scenario: Borrowed work counts as guaranteed once the guarantee has room for it
    Given team "red" runs a gang of 1 x 8 inside its guarantee
    And team "red" runs a borrowed gang of 1 x 8 on worker 1
    When the gang inside the guarantee ends
    Then the borrowed gang counts as guaranteed
