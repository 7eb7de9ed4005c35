Feature: Job records during failures of the store
  Guards against lost jobs, wrong refusals and a leader that releases its role without a reason.

  Scenario Outline: The reply to a submission agrees with what the store holds later
    Given a leader at epoch 1
    When <failure> and job j is submitted
    Then the answer is <answer> within <seconds> seconds
    And after the failure job j is <later>
    And the leader was not deposed

    Examples:
      | failure                                | answer            | seconds | later     |
      | nothing fails                          | accepted          | 1       | stored    |
      | the reply to the write is lost         | accepted          | 1       | stored    |
      | the write and its check get no reply   | write_unconfirmed | 4       | stored    |
      | the store hangs before the write       | store_unavailable | 4       | unknown   |
      | the store is known to be down          | store_unavailable | 0       | unknown   |
      | its shard is full                      | shard_full        | 0       | unknown   |
      | its key was used for another job       | key_conflict      | 0       | another   |

  Scenario: A lost reply does not depose the leader at the next write
    Given a leader at epoch 1
    When the write and its check get no reply and job j is submitted
    And the record of job j changes before the store answers again
    Then the change of job j is stored within 2 seconds
    And the leader was not deposed

  Scenario: An older leader cannot accept a job in a shard that was unused at the takeover
    Given a leader at epoch 1
    When another entry loads the records at epoch 2
    And nothing fails and job j is submitted
    Then the answer is write_unconfirmed within 4 seconds
    And the leader was deposed
    And job j is not in the store

  Scenario: The end of a gang is acknowledged once it is in the store
    Given a leader at epoch 1 with job j running
    When the store is down and the end of job j is reported
    Then the report is answered by not_recorded
    When the store is back and the end of job j is reported
    Then the report is answered by ok
    And job j is stored as completed

  Scenario: Records of other cells are not read
    Given records in the cells north, north/a and northeast
    When the cell north is loaded
    Then only the job of the cell north is known

  Scenario: Records of ended jobs are removed after a day, a bounded number at a time
    Given a leader at epoch 1 with 250 jobs that ended 25 hours ago and 5 that ended now
    When the records are pruned
    Then 55 records are left
    When the records are pruned
    Then 5 records are left
