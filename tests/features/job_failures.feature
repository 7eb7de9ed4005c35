Feature: Jobs complete once while leaders, the store and workers fail
  Guards against lost and repeated work, with separate processes: the scenarios count the started
  tasks by the records of the workers.

  Scenario Outline: The leader fails while a gang of two workers runs
    Given two entries and a gang of 2 members that runs for <seconds> s
    And a job of 3 members that waits for its end
    When the leader is <failed> until the other entry leads
    Then the job completes in its first attempt
    And its end is recorded with epoch 2
    And the waiting job completes in its first attempt, too
    And the workers have started 5 tasks in all

    Examples: the gang ends while there is no leader, and after the old leader has resumed
      | failed    | seconds |
      | killed    | 3       |
      | suspended | 12      |

  Scenario: The store is down while a gang finishes
    Guards against the loss of a gang's end if the leader that received it dies before the store is
    back.
    Given two entries and a gang of 2 members that runs for 3 s
    When the gang finishes while the store is down
    And the leader that received the end is killed and the store is back
    Then the end of the job is in the store
    And the job completes in its first attempt
    And the workers have started 2 tasks in all

  Scenario: Jobs over HTTP through either entry
    Guards against a second job for one key, and against reads that are not sent to the leader.
    Given two entries and a gang of 2 members that runs for 6 s
    Then a job without a region that is submitted through both entries is one job
    And the next generation of the job arrives while a caller waits for it
    And a waiting job is explained by the jobs that block it
    And a guarded cancellation is refused for an old generation and carried out for the current
    And a faulty submission is refused with all its findings
    And both entries list the jobs of a state

  Scenario: A worker that fails every task
    Guards against a worker that makes all jobs fail, and against its failures being counted against
    the jobs.
    Given two entries and 4 workers of which 1 fails every task and 3 are busy
    When 3 jobs are submitted and the busy workers become free once one is quarantined
    Then the failing worker is quarantined with a reason and all 3 jobs complete
    And an operator's release gives the repaired worker work again
