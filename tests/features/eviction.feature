Feature: Eviction of borrowed work
  Urgent jobs and jobs inside guarantees evict borrowed work, that with the least lost work first.

  Background:
    Given racks of workers "a a a" with 8 accelerators
    And team "red" has a guarantee of 1 instances of 1 x 8 "worker"

  Scenario Outline: The job with the least lost work is evicted
    Given borrowed jobs run with these sizes, ages and checkpoints
      | job    | worker | accelerators | age_s      | checkpointable   |
      | old    | 0      | 8            | 9000       | no               |
      | recent | 1      | 8            | <recent_s> | no               |
      | other  | 2      | 8            | 9000       | <checkpointable> |
    When a decision pass runs with an urgent gang of 1 x 8 of team "green"
    Then "<victim>" is evicted and nothing else

    Examples:
      | recent_s | checkpointable | victim |
      | 600      | no             | recent |
      | 600      | yes            | other  |
      | 10       | yes            | recent |

  Scenario Outline: Only urgent jobs and jobs inside guarantees evict borrowed work
    Given borrowed jobs run with these sizes, ages and checkpoints
      | job | worker | accelerators | age_s | checkpointable |
      | a   | 0      | 8            | 100   | no             |
      | b   | 1      | 8            | 100   | no             |
      | c   | 2      | 8            | 100   | no             |
    When a decision pass runs with <kind> gang of 1 x 8 of team "<team>"
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
    When a decision pass runs with an urgent gang of 3 x 8 of team "green"
    Then 0 jobs are evicted

  Scenario: An eviction in progress is not requested again
    Given borrowed jobs run with these sizes, ages and checkpoints
      | job | worker | accelerators | age_s | checkpointable |
      | a   | 0      | 8            | 100   | no             |
      | b   | 1      | 8            | 100   | no             |
      | c   | 2      | 8            | 100   | no             |
    When a decision pass runs with an urgent gang of 1 x 8 of team "green"
    And another decision pass runs with the same queue
    Then 1 jobs are evicted

  Scenario: A guarantee instance moves to free accelerators instead of evicting borrowed work
    Given borrowed jobs run with these sizes, ages and checkpoints
      | job | worker | accelerators | age_s | checkpointable |
      | a   | 0      | 8            | 100   | no             |
      | b   | 1      | 8            | 100   | no             |
    When a decision pass runs with a normal gang of 1 x 8 of team "red"
    Then 0 jobs are evicted
    And the gang starts as "guaranteed" work

  Scenario: A job that exceeds the guarantee runs as borrowed work
    Given team "red" runs a gang of 1 x 8 inside its guarantee
    When a decision pass runs with a normal gang of 1 x 8 of team "red"
    Then the gang starts as "borrowed" work

  Scenario: Evicted urgent work does not start before the job for which it was evicted
    Given an urgent gang of 1 x 8 of team "green" runs on worker 0
    And borrowed jobs run with these sizes, ages and checkpoints
      | job | worker | accelerators | age_s | checkpointable |
      | b   | 1      | 8            | 100   | no             |
      | c   | 2      | 8            | 100   | no             |
    When a decision pass runs with a normal gang of 1 x 8 of team "red"
    And the evicted job stops and both jobs are queued
    Then the gang starts as "guaranteed" work

  Scenario: Borrowed work counts as guaranteed once the guarantee has room for it
    Given team "red" runs a gang of 1 x 8 inside its guarantee
    And team "red" runs a borrowed gang of 1 x 8 on worker 1
    When the gang inside the guarantee ends
    Then the borrowed gang counts as guaranteed
