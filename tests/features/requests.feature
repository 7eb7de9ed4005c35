Feature: Correct outcomes of short requests under failure
  Two entries and two executors of one region share a store. Runs are counted in the executors' own
  lists.

  Scenario Outline: A non-repeatable request runs at most once
    Guards against a request that runs twice, is lost or is wrongly reported as not_run when a
    caller retries its key.

    Given two entries and two executors
    And the failure "<failure>"
    When a non-repeatable request is sent, and again through the other entry
    Then the outcomes are "<first>" and "<second>"
    And the executors have run the request <runs> times
    And a completed answer carries its own key

    Examples:
      | failure                                    | first     | second    | runs |
      | none                                       | completed | completed | 1    |
      | store reply lost                           | completed | completed | 1    |
      | store reply and re-read lost               | not_run   | completed | 1    |
      | store down at first                        | not_run   | completed | 1    |
      | store slower than the deadline             | not_run   | completed | 1    |
      | store down before the outcome              | completed | completed | 1    |
      | entry killed after the claim               | killed    | completed | 1    |
      | entry killed after the dispatch            | killed    | completed | 1    |
      | entry suspended between claim and dispatch | completed | completed | 1    |
      | entry resumed after the deadline           | completed | completed | 1    |
      | request lost                               | completed | completed | 1    |
      | request delayed                            | completed | completed | 1    |
      | reply lost                                 | completed | completed | 1    |
      | connection lost during the run             | completed | completed | 1    |
      | answer of another attempt                  | completed | completed | 1    |
      | answer truncated                           | unknown   | unknown   | 1    |
      | first run fails                            | failed    | failed    | 1    |
      | first executor refuses                     | completed | completed | 1    |
      | all executors refuse at first              | not_run   | completed | 1    |
      | agent restarts during the run              | unknown   | unknown   | 1    |
      | request runs beyond the deadline           | unknown   | unknown   | 1    |
      | both sent at the same time                 | completed | completed | 1    |

  Scenario Outline: A repeatable request is retried within its deadline
    Guards against a request that fails although another executor could run it.

    Given two entries and two executors
    And the failure "<failure>"
    When a repeatable request is sent
    Then its outcome is "<outcome>"
    And the executors have run the request <runs> times

    Examples:
      | failure                        | outcome   | runs |
      | none                           | completed | 1    |
      | store down at first            | completed | 1    |
      | first run fails                | completed | 2    |
      | all executors fail             | failed    | 3    |
      | answer truncated               | completed | 2    |
      | request lost                   | completed | 1    |
      | request delayed                | completed | 1    |
      | connection lost during the run | completed | 1    |
      | reply lost                     | completed | 1    |
      | first executor refuses         | completed | 1    |
      | agent lost during the run      | completed | 2    |
      | all executors refuse           | not_run   | 0    |

  Scenario: A non-repeatable request whose agent has restarted is recorded as unknown
    Guards against a retry that waits for an agent that has lost the outcome in its restart.

    Given two entries and two executors
    And the failure "entry killed and agent restarted"
    When a non-repeatable request is sent, and again through the other entry
    Then the outcomes are "killed" and "unknown"
    And a retried request is answered from its claim at once
    And the executors have run the request 1 times

  Scenario: The same key with another body is refused
    Guards against a caller that receives the answer of another request.

    Given two entries and two executors
    When a non-repeatable request is sent, and its key again with another body
    Then the outcomes are "completed" and "not_run"
    And the executors have run the request 1 times

  Scenario: Another entry's claim survives a lost store reply
    Guards against an entry that writes its cached shard again after a lost reply and thereby removes
    a claim that another entry wrote in the meantime.

    Given two entries and two executors
    When two entries write claims of one shard while replies are lost
    Then every claim is in the store
