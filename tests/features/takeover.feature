Feature: Takeover by a new leader and loss of workers
  Guards against lost jobs, jobs that run twice and accelerators that are allocated twice. The job
  of each scenario has 2 members.

  Scenario Outline: A new leader finds a gang of the old leader
    Given a cell of 5 workers with a leader
    When <situation> and the leader is replaced
    Then after <seconds> seconds the job is <state> at attempt <attempt> of <starts> starts

    Examples:
      | situation                                        | seconds | state     | attempt | starts |
      | its gang runs and is stored as running           | 5       | running   | 1       | 1      |
      | its gang runs and is stored as starting          | 5       | running   | 1       | 1      |
      | its gang runs and is stored as queued            | 5       | running   | 1       | 1      |
      | its gang ended unreported                        | 12      | running   | 1       | 1      |
      | its gang ended unreported                        | 20      | running   | 2       | 2      |
      | its gang ended and the report was lost           | 5       | completed | 1       | 1      |
      | its gang runs and the cancellation is stored     | 5       | cancelled | 1       | 1      |
      | its members are reserved only                    | 2       | queued    | 0       | 0      |
      | its members are reserved only                    | 20      | running   | 1       | 1      |

  Scenario: A gang without a record is stopped
    Given a cell of 5 workers with a leader
    When its gang runs and its record is missing and the leader is replaced
    Then after 5 seconds no gang runs

  Scenario: No job is placed on accelerators that are reserved by a task without a record
    Given a cell of 5 workers with a leader
    When its members are reserved only and the leader is replaced
    And another job of 4 members is submitted
    Then for 3 seconds no reservation is refused

  Scenario Outline: A new leader waits for the workers' reports
    Given a cell of 5 workers with a leader
    When its gang runs and is stored as queued and <taker> acquires the role
    And the workers of its members report <delay> seconds after the others
    Then after 5 seconds the job is running at attempt 1 of 1 starts

    Examples:
      | taker                 | delay |
      | a connected entry     | 2     |
      | a newly started entry | 2     |

  Scenario: A gang that is reported in part only is not started again before it has ended
    Given a cell of 5 workers with a leader
    When its gang runs and is stored as queued and a connected entry acquires the role
    And the worker of its head never reports and the other member's worker is lost after 5 seconds
    Then for 9 seconds no second attempt starts

  Scenario Outline: A worker is lost
    Given a cell of 5 workers with a leader
    When its gang runs and <loss>
    Then for <fence> seconds no second attempt starts
    And after <seconds> seconds the job is running at attempt 2 of 2 starts

    Examples:
      | loss                                   | fence | seconds |
      | the worker of its head is lost         | 14    | 4       |
      | the worker of its other member is lost | 19    | 4       |
      | its head reports a lost task at once   | 9     | 4       |

  Scenario: Refused reservations are retried with a backoff
    Given a cell of 5 workers with a leader
    When the agents refuse reservations for 60 seconds
    Then the job has had 5 to 8 attempts

  Scenario: The decision loop continues after a decision has failed
    Given a cell of 5 workers with a leader
    When the first decision fails
    Then after 5 seconds the job is running at attempt 1 of 1 starts

  Scenario: The reply to the start of a gang is lost
    Given a cell of 5 workers with a leader
    When the agents' replies to the start are lost
    Then after 5 seconds the job is running at attempt 1 of 1 starts

  Scenario Outline: A job is cancelled
    Given a cell of 5 workers with a leader
    When the job is <state> and cancelled twice
    Then after 3 seconds the job is cancelled at attempt <attempt> of <attempt> starts
    And no gang runs

    Examples:
      | state   | attempt |
      | queued  | 0       |
      | running | 1       |
