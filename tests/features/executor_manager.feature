Feature: An executor's agent runs a non-repeatable key at most once and reports what ran
  Guards against a request that runs twice, a request that is reported as not run although it ran,
  and a result that a late query does not find.

  Scenario Outline: A message follows an earlier request
    Given an executor with 2 slots whose answer takes 5 s
    When a non-repeatable request "k1" with nonce "n1" is sent as attempt "a1"
    And <seconds> s later <second>
    Then the second reply is "<reply>"
    And "k1" has run <runs> time(s)

    Examples:
      | seconds | second                                         | reply             | runs |
      | 1       | "k1" with nonce "n1" is sent as attempt "a1"   | completed         | 1    |
      | 9       | "k1" with nonce "n1" is sent as attempt "a1"   | completed         | 1    |
      | 1       | "k1" with nonce "n1" is sent as attempt "a2"   | completed         | 1    |
      | 9       | "k1" with nonce "n1" is sent as attempt "a2"   | completed         | 1    |
      | 1       | "k1" with nonce "n2" is sent as attempt "a2"   | key_already_ran   | 1    |
      | 9       | "k1" with nonce "n2" is sent as attempt "a2"   | key_already_ran   | 1    |
      | 9       | "k2" with nonce "n2" is sent as attempt "a1"   | attempt_repeated  | 1    |
      | 1       | "k2" is sent to another incarnation            | other_incarnation | 1    |
      | 1       | attempt "a1" is queried                        | running           | 1    |
      | 9       | attempt "a1" is queried                        | done              | 1    |
      | 9       | attempt "a1" of another incarnation is queried | other_incarnation | 1    |
      | 1       | key "k1" with nonce "n1" is queried            | running           | 1    |
      | 9       | key "k1" with nonce "n1" is queried            | done              | 1    |
      | 9       | key "k1" with nonce "n2" is queried            | never_ran         | 1    |
      | 700     | key "k1" with nonce "n1" is queried            | done              | 1    |
      | 700     | "k1" with nonce "n2" is sent as attempt "a2"   | key_already_ran   | 1    |

  Scenario Outline: A request is refused without being run
    Given an executor with 2 slots whose answer takes 5 s
    When <event>
    And a non-repeatable request "k1" with nonce "n1" is sent as attempt "a1"
    Then the first reply is "<reply>" immediately
    And "k1" has run <runs> time(s)

    Examples:
      | event                                  | reply                | runs |
      | attempt "a1" is queried                | attempt_refused      | 0    |
      | key "k1" with nonce "n1" is queried    | nonce_refused        | 0    |
      | 2 other requests run                   | no_free_slot         | 0    |
      | 59 connections and 1 other request run | no_free_connection   | 0    |
      | the executor drains                    | draining             | 0    |
      | the executor is unreachable            | executor_unreachable | 0    |
      | the executor refuses connections       | not_run              | 0    |

  Scenario Outline: The outcome and a retry of a request when the executor fails
    Given an executor with 2 slots whose answer takes 5 s
    When the executor <fault>
    And a non-repeatable request "k1" with nonce "n1" is sent as attempt "a1"
    Then the first reply is "<reply>" after the run
    And a retry of "k1" with nonce "n2" is answered "<retry>"

    Examples:
      | fault                                      | reply   | retry           |
      | refuses connections                        | not_run | not_run         |
      | closes the connection during its answer    | unknown | key_already_ran |
      | makes the client raise an unexpected error | unknown | key_already_ran |

  Scenario: Stored answers are bounded and a discarded attempt is never reported as not run
    Given an executor with 2 slots whose answer takes 0 s
    When 5000 repeatable requests with answers of 1000 bytes are run
    Then at most 1600000 bytes of answers are stored
    And a query for the first attempt is not answered "never_ran"
    And a query for the last attempt is answered "done"
