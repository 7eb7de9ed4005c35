Feature: A gang starts and ends as a whole under each single failure
  Guards against a part of a gang that runs without the rest, an end that is not reported, and
  accelerators that are never released, for a failure at each step of a gang.

  Scenario Outline: One failure
    Given a gang of 3 workers
    And this failure: <failure>
    When the gang is started with 30 s of work and 100 s pass
    Then the gang has ended as "<outcome>" and the failure is attributed to "<failed_worker>"
    And no task made progress before all tasks had started
    And every task has ended within <bound> s of the first task that ended without completing
    And every accelerator is free again

    Examples: messages that are lost
      | failure                                        | outcome     | failed_worker | bound |
      | none                                           | completed   | nobody        | 0     |
      | the reply to PrepareTask is lost               | completed   | nobody        | 0     |
      | the reply to ReleaseTask is lost               | completed   | nobody        | 0     |
      | the reply to StopTask is lost                  | completed   | nobody        | 0     |
      | two GangBeats are lost                         | completed   | nobody        | 0     |
      | the leader is unreachable for 60 s             | completed   | nobody        | 0     |
      | a member is disconnected before it is prepared | not_started | worker-1      | 0     |
      | a member is disconnected before its tasks work | lost        | worker-1      | 20    |
      | a member is disconnected while it runs         | lost        | worker-1      | 21    |

    Examples: workers that fail
      | failure                                    | outcome     | failed_worker | bound |
      | the worker's reply to start is lost        | completed   | nobody        | 0     |
      | the worker's reply to throttle is lost     | completed   | nobody        | 0     |
      | the worker refuses the first two starts    | completed   | nobody        | 0     |
      | the worker refuses every start             | not_started | worker-1      | 0     |
      | the worker is unreachable for 5 s          | completed   | nobody        | 0     |
      | the worker is unreachable for 15 s         | lost        | worker-1      | 5     |
      | the worker loses its tasks                 | lost        | worker-1      | 5     |
      | a task fails                               | failed      | worker-1      | 5     |
      | a task fails and two StopTasks are lost    | failed      | worker-1      | 7     |
      | the worker's replies to start are all lost | not_started | worker-1      | 0     |

    Examples: agents that fail
      | failure                                                      | outcome     | failed_worker | bound |
      | a member's agent is killed before it is prepared             | not_started | worker-1      | 0     |
      | a member's agent is killed before its tasks work             | lost        | worker-1      | 20    |
      | a member's agent is killed while it runs                     | lost        | worker-1      | 20    |
      | a member's agent restarts within 5 s                         | completed   | nobody        | 0     |
      | a member's agent restarts 3 s before its worker is reachable | completed   | nobody        | 0     |
      | a member's agent is suspended for 14 s                       | lost        | worker-1      | 20    |
      | the head's agent restarts within 5 s                         | completed   | nobody        | 0     |
      | the head's agent restarts before a release                   | completed   | nobody        | 0     |
      | the head's agent is suspended for 25 s                       | lost        | any           | 20    |
      | the head's agent is killed before a release                  | no report   | nobody        | 20    |
      | the head's agent is killed while it runs                     | no report   | nobody        | 20    |

  Scenario: Accelerators are released only after the worker has confirmed the stop
    Given a gang of 3 workers
    And this failure: a worker does not stop its task
    When the gang is started with 30 s of work and stopped after 5 s
    Then "worker-1" still has its accelerators reserved
    When its worker stops the task and 5 s pass
    Then every accelerator is free again

  Scenario: An agent that was suspended refuses to release a gang that has expired
    Given a gang of 3 workers
    And this failure: every ReleaseTask is lost
    When the gang is started with 30 s of work and 6 s pass
    Then a release after the expiry of the gang is refused

  Scenario: A start that takes effect after its stop leaves no task behind
    Given a gang of 3 workers
    And this failure: starts take effect after 8 s
    When the gang is started with 30 s of work and 12 s pass
    Then every accelerator is free again

  Scenario Outline: An attempt that the leader cancelled stops on all workers
    Given a gang of 3 workers
    When the gang is started with 30 s of work and cancelled after <seconds> s
    Then every task has ended within 2 s of the first task that ended without completing
    And every accelerator is free again
    And a repeated start and a repeated reservation change nothing

    Examples:
      | seconds |
      | 0.0     |
      | 5.0     |
