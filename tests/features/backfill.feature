Feature: Backfill around the reservation of the queue's head
  Short jobs may use reserved accelerators if they are expected to end in time.

  Background:
    Given racks of workers "a a" with 8 accelerators
    And a job of team "green" holds 8 accelerators of worker 0 for 1000 s
    And a gang of 2 x 8 waits at the head of the queue

  Scenario Outline: A job is backfilled if its corrected run time ends in time
    Given earlier jobs of team "red" took <factor> times what they declared
    When a job of team "red" with 4 accelerators and <declared_s> s is decided after it
    Then the later job "<result>"

    Examples:
      | factor | declared_s | result |
      | 1      | 900        | starts |
      | 1      | 1100       | waits  |
      | 10     | 90         | starts |
      | 10     | 900        | waits  |
      | 0.2    | 4000       | starts |

  Scenario Outline: A backfilled job that overruns only loses its protection
    Given a backfilled job of team "red" holds 4 accelerators of worker 1, declared <declared_s> s, since <age_s> s
    When the head alone is decided
    Then the backfilled job "<result>"

    Examples:
      | declared_s | age_s | result     |
      | 500        | 400   | runs on    |
      | 500        | 600   | is evicted |

  Scenario: A job that overruns where nobody waits runs on
    Given a backfilled job of team "red" holds 4 accelerators of worker 1, declared 500 s, since 600 s
    When no queue is decided
    Then the backfilled job "runs on"
