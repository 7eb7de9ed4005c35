Feature: An agent that is killed and restarted adopts the tasks of its worker
  Guards against a gang that is lost when the agent of a member is killed. Runs with real processes
  and signals.

  Scenario Outline: An agent of a running gang is killed and restarted
    Given a running fleet of one region with a running gang of two workers
    When the agent of the <role> is killed and restarted
    Then the job completes in its first attempt and each worker started one task

    Examples:
      | role   |
      | head   |
      | member |
