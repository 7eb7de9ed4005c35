Feature: A gang that loses an agent or a worker stops in time and is started again
  Guards against a member that keeps working without the rest of its gang, and a job that is lost
  or completes twice. Runs with real processes and signals.

  Scenario Outline: The agent and the worker of one member are killed
    Given a running gang of two workers
    When the agent and the worker of the <role> are killed
    Then the other member's task stops within 15 s
    When both are started again
    Then the job completes in its second attempt, once at each worker

    Examples:
      | role   |
      | head   |
      | member |

  Scenario: The agent of the head is suspended until its gang counts as lost
    Given a running gang of two workers
    When the agent of the head is suspended
    Then both tasks stop within 15 s
    When the agent of the head is resumed
    Then the job completes in its second attempt, once at each worker

  Scenario: The agent of the head is killed before the leader has recorded the gang's end
    Given a running gang of two workers
    When the entry is suspended until the gang has completed and the agent of the head is restarted
    Then the job completes in its second attempt, after two completed runs at each worker
