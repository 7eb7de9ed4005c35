Feature: Releases
  Operators change the configuration by release notes.

  Scenario Outline: A note with findings is refused with all of them
    Given a store with the team "claims" and its guarantee "claims-big"
    When the note <note> is applied
    Then the answer is "findings"
    And the findings are <findings>
    And the store holds generation 1

    Examples:
      | note                                                                                | findings                                                                                |
      | {"added": tru}                                                                      | 1:11 malformed JSON                                                                     |
      | {BASE, "bogus": 1, "added": {"teams": {"a": {"weight": 0}}}}                        | 1:57 unknown field bogus; 1:105 added.teams.a.weight is 0, which is out of range        |
      | {BASE, "added": {"teams": {"a": {"weight": "1"}, "b": 3}}}                          | 1:93 added.teams.a.weight is '1'; 1:104 added.teams.b is 3                              |
      | {BASE, "added": {"teams": {"claims": {}}}, "withdrawn": {"teams": ["x"]}}           | 1:77 team claims exists already; 1:117 team x does not exist                            |
      | {BASE, "changed": {"teams": {"a": {}}}}                                             | 1:79 team a does not exist                                                              |
      | {BASE, "withdrawn": {"teams": ["claims"]}}                                          | 1:81 team claims still has the guarantees claims-big                                    |
      | {BASE, "changed": {"teams": {"claims": {}}}, "withdrawn": {"teams": ["claims"]}}    | 1:119 this id of withdrawn.teams is in changed.teams too; 1:119 team claims still has the guarantees claims-big |
      | {BASE, "added": {"guarantees": {"g": {"team": "q", "region": "north", "shape": {"members": 1, "accelerators": 0}}}}} | 1:96 guarantee g is of the unknown team q; 1:160 accelerators is 0, which is out of range |
      | {BASE, "added": {"guarantees": {"g": {"team": "claims", "region": "north", "shape": {"members": 9, "accelerators": 8}}}}} | 1:82 in north, guarantee g: 1 of 1 instances of 9 x 8 accelerators (rack) for team 'claims' cannot be placed beside the other guarantees    |
      | {BASE, "added": {"guarantees": {"g": {"team": "claims", "region": "north", "shape": {"members": 3, "accelerators": 5}}}}} | 1:82 in north, guarantee g: 1 of 1 instances of 3 x 5 accelerators (rack) for team 'claims' cannot be placed beside the other guarantees    |
      | {BASE, "added": {"teams": {"a": {}, "a": {}}}}                                      | 1:86 added.teams.a is given twice                                                       |
      | {BASE, "added": {"teams": {"claims": {"weight": 0}}}, "changed": {"teams": {"q": {}}}} | 1:77 team claims exists already; 1:98 added.teams.claims.weight is 0; 1:126 team q does not exist |
      | {BASE}                                                                              | 1:1 the release note changes nothing                                                    |

  Scenario: A release that conflicts with another one is refused with the changes and their author
    Given a store with the team "claims" and its guarantee "claims-big"
    And "bea" applies a release that adds the team "renders" just before the next write
    When "ann" applies a release that adds the team "scans"
    Then the answer is "conflict"
    And the changes name "+teams/renders" by "bea"
    And the store holds generation 2

  Scenario Outline: A release is applied while the store fails
    Given a store with the team "claims" and its guarantee "claims-big"
    And the store will <fault>
    When "ann" applies a release that adds the team "scans"
    Then the answer is "<answer>"
    And the store holds generation <generation>
    And the store took <writes> writes

    Examples:
      | fault                                                        | answer   | generation | writes |
      | write once without a reply                                   | accepted | 2          | 1      |
      | fail once                                                    | accepted | 2          | 1      |
      | write once without a reply, then another release is written  | accepted | 3          | 2      |
      | fail for 60 s                                                | unknown  | 1          | 0      |
      | be down                                                      | not_run  | 1          | 0      |

  Scenario: The same release applied again is accepted once
    Given a store with the team "claims" and its guarantee "claims-big"
    When "ann" applies a release that adds the team "scans"
    And "ann" applies a release that adds the team "scans"
    Then the answer is "accepted"
    And the store holds generation 2
    And the store took 1 writes
