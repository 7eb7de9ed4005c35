Feature: A guarantee whose accelerators are borrowed is reclaimed, with separate processes
  Guards against a guarantee that cannot be used: all accelerators run borrowed work when the
  guaranteed or the urgent job arrives.

  Scenario Outline: A job that may reclaim starts within 9.5 s
    Given a running fleet of two workers with a guarantee of both for team "owner"
    And team "borrower" runs a job on every half of a worker
    When team "<team>" submits a job of 2 members with 8 accelerators, urgent <urgent>
    Then it runs within 9.5 s
    And the borrowed jobs were evicted with their work saved

    Examples:
      | team     | urgent |
      | owner    | no     |
      | borrower | yes    |
