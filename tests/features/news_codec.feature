Feature: News between entries stays small, and what can not be read is told

  Scenario Outline: A big configuration does not fill the link of its reader
    Given news of a configuration with <routes> routes
    When it is written for 11 followers that know the same
    Then it is deflated once
    And each gets at most <bytes> bytes and reads what was written

    Examples:
      | routes | bytes |
      | 8      | 1000  |
      | 1445   | 20000 |
      | 4246   | 60000 |

  Scenario: Each answer says how old it is, though its body is kept
    Given news of a configuration with 8 routes
    When it is written at an age of 0.1 s and at one of 0.7 s
    Then these ages are read again

  Scenario: A new state is written anew, also for who knows the same
    Given news of a configuration with 8 routes
    When a route is added and it is written again
    Then the new state is read

  Scenario: Any bytes are read or refused
    Then any damage to an answer is told as unreadable, or changes nothing
