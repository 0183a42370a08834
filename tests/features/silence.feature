Feature: A TCP flow that gets no answers is reset; an idle or one-way flow never is

  Guards against a TCP flow that hangs because its packets no longer get through while
  its target answers other flows, and against resets of healthy flows that are idle,
  use one direction only, or belong to a target that answers nobody.

  Scenario Outline: A silent TCP flow is reset at both ends and reconnects
    Given a silence timeout of <limit> s and 60 TCP flows with a packet every <every> s
    When one flow goes silent while its target answers others, <meanwhile>
    Then the silent flow is reset at caller and target within <limit> s plus <grace> s
    And the caller of the silent flow reconnects and is answered
    And no other flow is reset for silence

    Examples:
      | limit | every | meanwhile               | grace |
      | 10    | 1     | and nothing fails       | 2     |
      | 30    | 2     | and nothing fails       | 3     |
      | 10    | 1     | and another entry fails | 14    |

  Scenario: The naive engine leaves a silent flow hanging
    Given a silence timeout of 10 s and 60 TCP flows with a packet every 1 s, using the naive engine
    When one flow goes silent while its target answers others, and nothing fails
    Then the silent flow is not reset within 60 s

  Scenario: No flow is reset while its whole target is silent
    Given a silence timeout of 10 s and 60 TCP flows with a packet every 1 s
    When a whole target goes silent for 40 s
    Then no flow is reset for silence

  Scenario Outline: An idle or one-way flow is never reset or moved
    Given a silence timeout of 10 s and 60 TCP flows with a packet every 1 s
    And healthy <kind>
    When the silence detector runs for 120 s, <meanwhile>
    Then no flow is reset for silence
    And the healthy flows stay with their targets

    Examples:
      | kind                                    | meanwhile         |
      | TCP flows with a packet every 50 s      | and nothing fails |
      | TCP flows with a packet every 50 s      | and entries fail  |
      | UDP flows one way to the target         | and nothing fails |
      | UDP flows one way to the target         | and entries fail  |
      | TCP flows that only the target sends on | and nothing fails |
