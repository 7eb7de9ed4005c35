Feature: Operations on running processes

  Scenario: A release is in force in all entries and agents within 6 s
    Given a running fleet of two regions
    When a release is applied through an entry of "north"
    Then every entry reports it in force everywhere within 6 s
    And a repeated release through an entry of "south" is accepted with the same generation

  Scenario: An entry that starts while the store is down applies the configuration of its agents
    Given a running fleet of two regions
    And a release is in force everywhere
    When the store is down and every entry is killed
    And the entry of "north" starts again
    Then the release is in force at the entry of "north" within 6 s
    And a release is refused with outcome "not_run"

  Scenario: A draining target of another region gets no new work after 3 s
    Given a running fleet of two regions
    When the executor of "south" is drained through the entry of "north"
    Then a request to "south" 3 s later does not reach its executor
    When the executor of "south" is returned through the entry of "north"
    Then a request to "south" reaches its executor

  Scenario: Operators see processes, teams and metrics
    Given a running fleet of two regions
    And a release is in force everywhere
    Then the state of an agent of "south" is read through the entry of "north"
    And the metrics of "north" name the generation and the agents
    And unknown resources and targets are answered with problem documents

  Scenario: Operators see how long jobs wait
    Given a running fleet of two regions
    When two jobs ask for the only worker of "north"
    Then the metrics of "north" show that a job waits
    When the running job is cancelled through the entry of "north"
    Then the metrics of "north" show that no job waits
