Feature: Backfill around the reservation of the head of the queue
  A job may use reserved accelerators if it is expected to end before they are needed.

  Background:
    Given racks of workers "a a" with 8 accelerators
    And a job of team "green" uses 8 accelerators of worker 0 for another 1000 s
    And a gang of 2 x 8 waits at the head of the queue

  Scenario Outline: A job is backfilled if its expected run time ends before the reservation starts
    Given earlier jobs of team "red" ran <factor> times as long as declared
    When a decision pass runs with a later job of team "red" with 4 accelerators and <declared_s> s
    Then the later job "<result>"

    Examples:
      | factor | declared_s | result |
      | 1      | 900        | starts |
      | 1      | 1100       | waits  |
      | 10     | 90         | starts |
      | 10     | 900        | waits  |
      | 0.2    | 4000       | starts |

  Scenario Outline: A backfilled job on reserved accelerators is evicted once it overruns
    Given a backfilled job of team "red" declared <declared_s> s and has used 4 accelerators of worker 1 for <age_s> s
    When a decision pass runs with the head of the queue only
    Then the backfilled job "<result>"

    Examples:
      | declared_s | age_s | result     |
      | 500        | 400   | continues  |
      | 500        | 600   | is evicted |

  Scenario: A backfilled job that overruns continues if no job waits
    Given a backfilled job of team "red" declared 500 s and has used 4 accelerators of worker 1 for 600 s
    When a decision pass runs with an empty queue
    Then the backfilled job "continues"
