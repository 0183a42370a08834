Feature: Datagrams between entries carry a keyed digest

  Guards against entries that accept datagrams which are changed or sealed with an unknown
  key, and against entries that drop each other's datagrams while keys are rotated.

  Scenario Outline: Only datagrams sealed with an accepted key are opened
    Given a sealer that sends with key "<sent>"
    And a sealer that accepts key "<current>" and previous key "<previous>"
    Then the second sealer <verdict> what the first has sealed

    Examples:
      | sent | current | previous | verdict |
      | A    | A       | none     | opens   |
      | A    | B       | A        | opens   |
      | A    | A       | B        | opens   |
      | A    | B       | none     | drops   |
      | A    | B       | C        | drops   |
      | none | A       | none     | drops   |
      | none | A       | B        | drops   |
      | A    | none    | none     | drops   |
      | none | none    | none     | opens   |

  Scenario Outline: A changed datagram is dropped
    Given a sealer that sends with key "A"
    And a sealer that accepts key "A" and previous key "B"
    Then the second sealer drops what was sealed when <change>

    Examples:
      | change                           |
      | any single bit is flipped        |
      | it is truncated at any length    |
      | a byte is added                  |
      | it is empty                      |
      | it has another datagram's digest |

  Scenario Outline: Keys are rotated without a dropped datagram
    Given 3 entries whose keys are "A" and previous "none"
    When each entry in the order "<order>" restarts with keys "A" and previous "B"
    And each entry in the order "<order>" restarts with keys "B" and previous "A"
    And each entry in the order "<order>" restarts with keys "B" and previous "none"
    Then no entry dropped a datagram of another

    Examples:
      | order   |
      | 0, 1, 2 |
      | 2, 1, 0 |

  Scenario: A rotation in one step drops datagrams
    Given 3 entries whose keys are "A" and previous "none"
    When each entry in the order "0, 1, 2" restarts with keys "B" and previous "none"
    Then some entry dropped a datagram of another
