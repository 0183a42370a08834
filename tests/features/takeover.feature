Feature: Requests outlive the entry that decides on them

  The real engines on the fake network: one service of requests, nine entries.

  Scenario Outline: The primary dies after it passed a POST on: the caller is told
    Given takeover entries that know what is new
    When a takeover POST reaches a target, which then <target does>
    And the takeover primary dies
    And the takeover caller <caller does>
    Then the takeover caller is told <told> within 8 s, by a message it can take
    And the takeover POST reached one target

    Examples:
      | target does                     | caller does        | told            |
      | stays silent                    | repeats it         | outcome unknown |
      | stays silent                    | waits              | outcome unknown |
      | acknowledges and stays silent   | waits              | outcome unknown |
      | acknowledges and answers later  | waits              | hello           |

  Scenario: A watch goes on when its primary dies, and when it comes back
    Given takeover entries that know what is new
    When a takeover watch is opened
    And the takeover primary dies
    Then takeover notifications reach the caller 4 s later
    When the takeover primary starts again
    Then takeover notifications reach the caller 30 s later

  Scenario: Entries that have all just started claim nothing
    Given takeover entries that have just started
    When a takeover POST is sent
    Then the takeover caller is told outcome unknown within 1 s, by a message it can take

  Scenario: The latency of a watch is that of its first answer
    Given takeover entries that know what is new
    When a takeover watch is opened
    Then takeover notifications reach the caller 4 s later
    And the takeover entries counted one latency, under 1 s
