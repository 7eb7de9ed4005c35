Feature: Requests and jobs from the caller to the target
  Guards with separate processes against a failure of any component between a caller and a target.

  Scenario Outline: A request gets a complete answer and runs once
    Given a running fleet of one region
    When a <kind> request is sent with key "<key>"
    Then its outcome is "completed" and it carries its own key
    And the executor has run key "<key>" once

    Examples:
      | kind           | key     |
      | repeatable     | scan-1  |
      | non-repeatable | order-1 |

  Scenario: A gang of two workers runs and completes
    Given a running fleet of one region
    When a job of 2 members with 8 accelerators each is submitted
    Then the job completes
    And no member worked before all members had started
