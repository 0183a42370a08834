@real-time
Feature: Control calls to an entry recover when the connection to it has fallen silent

  Guards against a channel that counts as connected although nothing that is sent on it
  arrives: each call then fails at its deadline, and objects that differ are not read.

  Scenario Outline: After one call has failed, the next one is answered on a new connection
    Given an entry whose control calls pass through a proxy, with <kind> files
    And it has answered a call to synchronise objects
    When the connection falls silent, and <calls> calls are made at once
    Then they fail at their deadline
    And the next call is answered within 1 s

    Examples:
      | kind    | calls |
      | no      | 1     |
      | no      | 3     |
      | valid   | 1     |

  Scenario: A restarted entry is called again without delay
    Given an entry whose control calls pass through a proxy, with no files
    And it has answered a call to synchronise objects
    When calls have failed for 3 s because the entry was down
    Then the next call is answered within 1 s of its return
