Feature: A gang keeps its promises under each failure
  Guards against a part of a gang that runs without the rest, a lost finish, and accelerators
  that stay occupied, for a failure at each step of a gang's life.

  Scenario Outline: One failure
    Given a gang of 3 workers
    And this failure: <failure>
    When the gang is started with 30 s of work and 100 s pass
    Then the gang has ended as "<outcome>" and "<blamed>" is blamed
    And no task worked before all tasks had started
    And every task has ended within <bound> s of the first that ended early
    And every accelerator is free again

    Examples: messages that are lost
      | failure                                   | outcome     | blamed   | bound |
      | none                                      | completed   | nobody   | 0     |
      | the reply to PrepareTask is lost          | completed   | nobody   | 0     |
      | the reply to ReleaseTask is lost          | completed   | nobody   | 0     |
      | the reply to StopTask is lost             | completed   | nobody   | 0     |
      | two GangBeats are lost                    | completed   | nobody   | 0     |
      | the leader is away for 60 s               | completed   | nobody   | 0     |
      | a member is cut off before it is prepared | not_started | worker-1 | 0     |
      | a member is cut off before it is released | lost        | worker-1 | 20    |
      | a member is cut off while it runs         | lost        | worker-1 | 21    |

    Examples: workers that fail
      | failure                                   | outcome     | blamed   | bound |
      | the worker's reply to start is lost       | completed   | nobody   | 0     |
      | the worker's reply to throttle is lost    | completed   | nobody   | 0     |
      | the worker refuses the first two starts   | completed   | nobody   | 0     |
      | the worker refuses every start            | not_started | worker-1 | 0     |
      | the worker is unreachable for 5 s         | completed   | nobody   | 0     |
      | the worker is unreachable for 15 s        | lost        | worker-1 | 5     |
      | the worker loses its tasks                | lost        | worker-1 | 5     |
      | a task fails                              | failed      | worker-1 | 5     |
      | a task fails and two StopTasks are lost   | failed      | worker-1 | 7     |
      | the worker's replies to start are all lost | not_started | worker-1 | 0    |

    Examples: agents that fail
      | failure                                     | outcome     | blamed   | bound |
      | a member's agent dies before it is prepared | not_started | worker-1 | 0     |
      | a member's agent dies before it is released | lost        | worker-1 | 20    |
      | a member's agent dies while it runs         | lost        | worker-1 | 20    |
      | a member's agent restarts within 5 s        | completed   | nobody   | 0     |
      | a member's agent restarts and waits 3 s for its worker | completed | nobody | 0 |
      | a member's agent is frozen for 14 s         | lost        | worker-1 | 20    |
      | the head's agent restarts within 5 s        | completed   | nobody   | 0     |
      | the head's agent restarts before a release  | completed   | nobody   | 0     |
      | the head's agent is frozen for 25 s         | lost        | any      | 20    |
      | the head's agent dies before a release      | no report   | nobody   | 20    |
      | the head's agent dies while it runs         | no report   | nobody   | 20    |

  Scenario: Accelerators are free only when the worker has confirmed the stop
    Given a gang of 3 workers
    And this failure: a worker does not stop its task
    When the gang is started with 30 s of work and stopped after 5 s
    Then "worker-1" still holds its accelerators
    When its worker stops the task and 5 s pass
    Then every accelerator is free again

  Scenario: An agent that was paused releases no gang whose head it has not heard in time
    Given a gang of 3 workers
    And this failure: no release is sent
    When the gang is started with 30 s of work and 6 s pass
    Then a release that comes too late is refused

  Scenario: A start that takes effect after its stop leaves no task behind
    Given a gang of 3 workers
    And this failure: starts take effect 8 s late
    When the gang is started with 30 s of work and 12 s pass
    Then every accelerator is free again

  Scenario Outline: An attempt that the leader gave up never runs on
    Given a gang of 3 workers
    When the gang is started with 30 s of work and given up after <seconds> s
    Then every task has ended within 2 s of the first that ended early
    And every accelerator is free again
    And a repeated start and a repeated reservation change nothing

    Examples:
      | seconds |
      | 0.0     |
      | 5.0     |
