Feature: Settings
  A program does not start if its settings have findings, and reports all findings together.

  Scenario Outline: Findings are reported with line and column
    Given the example settings of the <program>
    When <old> is replaced by <new>
    Then the findings are <findings>

    Examples:
      | program | old                       | new                                   | findings                                                                |
      | agent   | "kind": "worker"          | "kind": "executor"                    | 6:11 kind is executor, but executor is missing; 16:3 worker is given    |
      | agent   | "accelerators": 8         | "accelerators": 0                     | 19:21 worker.accelerators is 0                                          |
      | agent   | "listen_port": 7201       | "listen_port": 99999, "listen_prt": 1 | 13:18 listen_port is 99999; 13:25 unknown field listen_prt              |
      | agent   | "heartbeat_s": 1.5        | "heartbeat_s": 1500                   | 27:18 heartbeat_s is 1500                                               |
      | entry   | "http_port": 7100         | "http_port": 7101                     | 14:16 http_port and peer_port are both 7101                             |
      | entry   | "http://192.0.2.1:7000"   | "192.0.2.1:7000"                      | 16:16 store_url is '192.0.2.1:7000'                                     |
      | entry   | "cell": "north",          | "cell": "north", "cell": "south",     | 9:20 cell is given twice                                                |
      | entry   | "zone": "north-a",        | "zone": 3, "log_level": "loud",       | 7:11 zone is 3; 25:3 log_level is given twice                           |

  Scenario Outline: An agent with valid settings does not import the parsers that locate findings
    Given the example settings of the agent
    Then reading the settings does not import <module>

    Examples:
      | module     |
      | pyjson5    |
      | json5      |
      | expression |
