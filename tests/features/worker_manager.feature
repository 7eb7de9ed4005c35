Feature: A worker's agent never overcommits its worker and refuses messages of a former leader
  Guards against accelerators that are granted twice, reservations that never expire and commands
  of a former leader.

  Scenario Outline: A reservation is requested while another one exists
    Given a worker's agent with accelerators 0-3, 40 cores and 200 GB reserved in epoch 5
    When <accelerators> with <cores> cores and <memory_gb> GB are reserved in epoch <epoch> for job "<job>"
    Then the answer is "<answer>"

    Examples:
      | accelerators | cores | memory_gb | epoch | job   | answer              |
      | 4,5          | 24    | 50        | 5     | job-2 | Ok                  |
      | 4,5          | 24    | 50        | 6     | job-2 | Ok                  |
      | 4,5          | 24    | 50        | 4     | job-2 | stale_epoch         |
      | 3,4          | 1     | 1         | 5     | job-2 | accelerators_in_use |
      | 4,5          | 25    | 50        | 5     | job-2 | cores_in_use        |
      | 4,5          | 24    | 51        | 5     | job-2 | memory_in_use       |
      | 7,8          | 1     | 1         | 5     | job-2 | no_such_accelerator |
      | 4,4          | 1     | 1         | 5     | job-2 | no_such_accelerator |
      | 4,5          | -9    | 1         | 5     | job-2 | negative_size       |
      | 0,1,2,3      | 40    | 200       | 5     | job-1 | Ok                  |
      | 0,1          | 40    | 200       | 5     | job-1 | other_reservation   |

  Scenario Outline: A reservation expires or is cancelled
    Given a worker's agent with accelerators 0-3, 40 cores and 200 GB reserved in epoch 5
    When <event>
    Then 8 accelerators, 64 cores and 250 GB can be reserved: <free>

    Examples:
      | event                            | free |
      | 9 s pass                         | no   |
      | 12 s pass                        | yes  |
      | the leader of epoch 5 cancels it | yes  |
      | the leader of epoch 4 cancels it | no   |

  Scenario Outline: An agent that cannot serve a reservation refuses it
    Given a worker's agent that <state>
    When 0,1 with 1 cores and 1 GB are reserved in epoch 5 for job "job-2"
    Then the answer is "<answer>"

    Examples:
      | state                               | answer             |
      | drains                              | draining           |
      | cannot reach its worker             | worker_unreachable |
      | has not read the worker's task list | starting           |
