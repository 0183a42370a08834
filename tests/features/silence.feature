Feature: A flow that went silent for good is reset; a quiet one never is

  Scenario Outline: A TCP flow lost between the ends is reset at both, and opens anew
    Given silence limits of <limit> s, and 60 TCP flows with a packet every <every> s
    When silence falls on one flow, others of its target are answered, <meanwhile>
    Then silence ends in a reset at caller and target within <limit> s and <grace> s
    And the silent flow's caller opens anew and is answered
    And silence resets no other flow

    Examples:
      | limit | every | meanwhile               | grace |
      | 10    | 1     | and nothing fails       | 2     |
      | 30    | 2     | and nothing fails       | 3     |
      | 10    | 1     | and another entry fails | 14    |

  Scenario: The naive version leaves a silent flow as it is
    Given silence limits of 10 s, and 60 TCP flows with a packet every 1 s, naive
    When silence falls on one flow, others of its target are answered, and nothing fails
    Then silence ends in no reset within 60 s

  Scenario: While nothing of the target answers, no flow is taken for lost
    Given silence limits of 10 s, and 60 TCP flows with a packet every 1 s
    When silence falls on a whole target for 40 s
    Then silence resets no flow

  Scenario Outline: A quiet but healthy flow is never reset or moved
    Given silence limits of 10 s, and 60 TCP flows with a packet every 1 s
    And silence sees <kind>
    When silence watches for 120 s, <meanwhile>
    Then silence resets no flow
    And the quiet flows of the silence stay with their targets

    Examples:
      | kind                                      | meanwhile               |
      | TCP flows with a packet every 50 s        | and nothing fails       |
      | TCP flows with a packet every 50 s        | and entries fail        |
      | UDP flows one way to the target           | and nothing fails       |
      | UDP flows one way to the target           | and entries fail        |
      | TCP flows that only the target sends on   | and nothing fails       |
