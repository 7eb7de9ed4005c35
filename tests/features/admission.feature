Feature: Admission
  Jobs that can never run and guarantees that cannot be placed are rejected with all findings.

  Scenario Outline: All findings on a job are reported at once
    Given racks of workers "a a a b b b" with 8 accelerators
    When a job of team "<team>" with <members> x <accelerators> "<adjacency>", <cores> cores, <memory> GB and <run_time> s is checked
    Then the findings are "<findings>"

    Examples:
      | team  | members | accelerators | adjacency | cores | memory | run_time | findings |
      | red   | 3       | 8            | rack      | 64    | 250    | 60       |          |
      | red   | 4       | 8            | rack      | 0     | 0      | 60       | gang_too_large |
      | red   | 6       | 8            | any       | 0     | 0      | 60       |          |
      | red   | 7       | 8            | any       | 0     | 0      | 60       | gang_too_large |
      | red   | 4       | 4            | worker    | 0     | 0      | 60       | gang_too_large |
      | red   | 1       | 9            | any       | 65    | 251    | 60       | too_many_accelerators too_many_cores too_much_memory |
      | black | 0       | 8            | rack      | 0     | 0      | 0        | unknown_team bad_run_time empty_shape |
      | red   | 4       | 8            | any       | 40    | 200    | 60       |          |
      | red   | 2       | 4            | worker    | 40    | 0      | 60       | gang_too_large |

  Scenario Outline: Each guarantee that does not fit beside the others is reported
    Given racks of workers "<racks>" with 8 accelerators
    When guarantees "<guarantees>" are checked
    Then guarantees "<rejected>" are rejected

    Examples:
      | racks       | guarantees           | rejected |
      | a a a       | 1x2x8r 1x1x8w        |          |
      | a a a b     | 1x2x8r 1x1x8w 1x1x8w |          |
      | a a b b     | 1x3x8r               | g0       |
      | a a b b     | 1x3x8a 1x1x8w        |          |
      | a a b b     | 3x1x8w 2x2x4w        | g1       |
      | a a         | 3x1x4w 1x2x2w        |          |
      | a a         | 3x1x4w 1x5x2w        | g1       |
