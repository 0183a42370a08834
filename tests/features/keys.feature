Feature: Datagrams between entries carry a keyed digest

  Scenario Outline: Only what is sealed with a key in force is taken
    Given a sealer that sends with key "<sent>"
    And a sealer that takes key "<current>" and previous key "<previous>"
    Then the second sealer <verdict> what the first has sealed

    Examples:
      | sent | current | previous | verdict |
      | A    | A       | none     | takes   |
      | A    | B       | A        | takes   |
      | A    | A       | B        | takes   |
      | A    | B       | none     | drops   |
      | A    | B       | C        | drops   |
      | none | A       | none     | drops   |
      | none | A       | B        | drops   |
      | A    | none    | none     | drops   |
      | none | none    | none     | takes   |

  Scenario Outline: A datagram that was changed is dropped
    Given a sealer that sends with key "A"
    And a sealer that takes key "A" and previous key "B"
    Then the second sealer drops what was sealed when <change>

    Examples:
      | change                          |
      | any one of its bits is flipped  |
      | any part of its end is cut off  |
      | a byte is added                 |
      | it is empty                     |
      | it is another's digest          |

  Scenario Outline: Keys are changed over without a moment of refusal
    Given 3 entries whose keys are "A" and previous "none"
    When each entry in the order "<order>" restarts with keys "A" and previous "B"
    And each entry in the order "<order>" restarts with keys "B" and previous "A"
    And each entry in the order "<order>" restarts with keys "B" and previous "none"
    Then no entry has ever dropped a datagram of another

    Examples:
      | order   |
      | 0, 1, 2 |
      | 2, 1, 0 |

  Scenario: A change-over in one step does refuse
    Given 3 entries whose keys are "A" and previous "none"
    When each entry in the order "0, 1, 2" restarts with keys "B" and previous "none"
    Then some entry has dropped a datagram of another
