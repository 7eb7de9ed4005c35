Feature: Truthful outcomes of short requests under failure
  Two entries and two executors of one region share a store. The checks use the executors' own
  records.

  Scenario Outline: A non-repeatable request runs at most once
    Guards against a doubled, lost or wrongly refused order when a caller retries its key.

    Given two entries and two executors
    And the failure "<failure>"
    When an order is sent, and again through the other entry
    Then the outcomes are "<first>" and "<second>"
    And the executors have run the order <runs> times
    And a completed order carries its own key

    Examples:
      | failure                                 | first     | second    | runs |
      | none                                    | completed | completed | 1    |
      | store reply lost                        | completed | completed | 1    |
      | store reply and re-read lost            | not_run   | completed | 1    |
      | store down at first                     | not_run   | completed | 1    |
      | store slower than the deadline          | not_run   | completed | 1    |
      | store down before the outcome           | completed | completed | 1    |
      | entry dies after the claim              | died      | completed | 1    |
      | entry dies after the dispatch           | died      | completed | 1    |
      | entry frozen between claim and dispatch | completed | completed | 1    |
      | thawed after the deadline               | completed | completed | 1    |
      | request lost                            | completed | completed | 1    |
      | request late                            | completed | completed | 1    |
      | reply lost                              | completed | completed | 1    |
      | connection silent during the run        | completed | completed | 1    |
      | foreign answer                          | completed | completed | 1    |
      | answer cut                              | unknown   | unknown   | 1    |
      | order fails                             | failed    | failed    | 1    |
      | first executor refuses                  | completed | completed | 1    |
      | all executors refuse at first           | not_run   | completed | 1    |
      | agent restarts during the run           | unknown   | unknown   | 1    |
      | order runs beyond the deadline          | unknown   | unknown   | 1    |
      | both at the same time                   | completed | completed | 1    |

  Scenario Outline: A repeatable request is retried within its deadline
    Guards against a scan that fails although another executor could serve it.

    Given two entries and two executors
    And the failure "<failure>"
    When a scan is sent
    Then its outcome is "<outcome>"
    And the executors have run the scan <runs> times

    Examples:
      | failure                          | outcome   | runs |
      | none                             | completed | 1    |
      | store down at first              | completed | 1    |
      | order fails                      | completed | 2    |
      | all executors fail               | failed    | 3    |
      | answer cut                       | completed | 2    |
      | request lost                     | completed | 1    |
      | request late                     | completed | 1    |
      | connection silent during the run | completed | 1    |
      | reply lost                       | completed | 1    |
      | first executor refuses           | completed | 1    |
      | agent gone during the run        | completed | 2    |
      | all executors refuse             | not_run   | 0    |

  Scenario: An order whose agent is gone is recorded as unknown
    Guards against a retry that waits for an agent that cannot know the outcome any more.

    Given two entries and two executors
    And the failure "entry dies and agent restarts"
    When an order is sent, and again through the other entry
    Then the outcomes are "died" and "unknown"
    And a retried order is answered from its claim at once
    And the executors have run the order 1 times

  Scenario: The same key with another body is refused
    Guards against a caller that gets the answer of another order.

    Given two entries and two executors
    When an order is sent, and its key again with another body
    Then the outcomes are "completed" and "not_run"
    And the executors have run the order 1 times

  Scenario: Another entry's claim survives a lost store reply
    Guards against a shard cached across a lost reply that erases a claim written meanwhile.

    Given two entries and two executors
    When two entries write claims of one shard while replies are lost
    Then every claim is in the store
