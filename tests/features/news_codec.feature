Feature: Updates between entries stay small, and unreadable ones are reported

  Guards against an update that fills the link of the entry that reads it, states a wrong
  age or an old state from the cache, or is damaged and accepted all the same.

  Scenario Outline: A large configuration does not saturate its reader's link
    Given an update of a configuration with <routes> routes
    When the update is encoded for 11 followers with the same revision
    Then the update is compressed once
    And each follower gets at most <bytes> bytes and decodes the same update

    Examples:
      | routes | bytes |
      | 8      | 1000  |
      | 1445   | 20000 |
      | 4246   | 60000 |

  Scenario: Each answer carries its own age although its body is cached
    Given an update of a configuration with 8 routes
    When the update is encoded at an age of 0.1 s and at one of 0.7 s
    Then the same ages are decoded

  Scenario: A new state is encoded again for followers with the same revision
    Given an update of a configuration with 8 routes
    When a route is added and the update is encoded again
    Then the new state is decoded

  Scenario: Damaged bytes are decoded or refused
    Then any damage to an answer is reported as unreadable or changes nothing
