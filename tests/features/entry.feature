Feature: kumquat-entry starts and ends as an operator expects

  Scenario Outline: A port that is taken is told, and nothing is left running
    Given an entry's settings at 127.15.0.<host>
    And port <port> of 127.15.0.<host> is taken over <protocol>
    When the entry is started
    Then the entry ends with status 6 and tells "Cannot start"

    Examples:
      | host | port | protocol |
      | 1    | 7200 | TCP      |
      | 2    | 7300 | TCP      |
      | 3    | 6080 | UDP      |
      | 4    | 7100 | UDP      |

  Scenario: SIGTERM ends an entry well
    Given an entry's settings at 127.15.0.5
    When the entry is started
    And the entry is told to end once its admin port answers
    Then the entry ends with status 0 and tells "has handed over; exiting"

  Scenario: Settings with a mistake start nothing
    Given an entry's settings at 127.15.0.6
    And the entry's settings say "admin_port = 73000"
    When the entry is started
    Then the entry ends with status 3 and tells "admin_port"

  Scenario Outline: Bad datagrams are dropped, counted by reason, and hardly logged
    Given an entry with a digest key, set up at 127.15.0.<host>
    When the entry is started
    And 100 datagrams of <kind> come to port <port> from 127.15.0.<source>
    Then the entry counts 100 drops for "<reason>"
    And the entry ends with status 0 on SIGTERM, with at most 10 lines

    Examples:
      | host | kind               | port | source | reason          |
      | 11   | garbage            | 6080 | 100    | malformed       |
      | 12   | nothing            | 6080 | 100    | malformed       |
      | 13   | an unknown service | 6080 | 100    | unknown-service |
      | 14   | a fragment         | 6080 | 100    | fragment        |
      | 15   | an unknown service | 6080 | 101    | stranger        |
      | 16   | garbage            | 7100 | 101    | not-authentic   |
