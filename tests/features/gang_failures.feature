Feature: A gang whose parts fall silent stops within the bound and runs again
  Guards, with real processes and signals, against a member that works alone and a job that is
  lost or completes twice.

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

  Scenario: The agent of the head is frozen past the silence limit
    Given a running gang of two workers
    When the agent of the head is frozen
    Then both tasks stop within 15 s
    When the agent of the head is thawed
    Then the job completes in its second attempt, once at each worker

  Scenario: The agent of the head dies with a finish that the leader has not recorded
    Given a running gang of two workers
    When the entry is frozen until the gang has completed and the agent of the head is restarted
    Then the job completes in its second attempt, after two completed runs at each worker
