Feature: Requests survive the failure of the entry that decides on them

  Guards against requests that are lost or sent twice, watches that stop, and answers
  that a caller cannot match, when the primary of a service dies or restarts. Runs the
  real engines on the fake network: one request service, nine entries.

  Scenario Outline: The primary dies after it forwarded a POST: the caller gets an outcome
    Given takeover entries that can tell new requests from repeats
    When a takeover POST reaches a target, which then <target does>
    And the takeover primary dies
    And the takeover caller <caller does>
    Then the takeover caller gets <answer> within 8 s in a message it can match
    And the takeover POST reached exactly one target

    Examples:
      | target does                      | caller does    | answer          |
      | does not answer                  | retransmits it | outcome unknown |
      | does not answer                  | waits          | outcome unknown |
      | acknowledges and does not answer | waits          | outcome unknown |
      | acknowledges and answers later   | waits          | hello           |

  Scenario: A watch continues when its primary dies and when it restarts
    Given takeover entries that can tell new requests from repeats
    When a takeover watch is opened
    And the takeover primary dies
    Then takeover notifications reach the caller 4 s later
    When the takeover primary restarts
    Then takeover notifications reach the caller 30 s later

  Scenario: Entries that have all just started report the outcome as unknown
    Given takeover entries that have just started
    When a takeover POST is sent
    Then the takeover caller gets outcome unknown within 1 s in a message it can match

  Scenario: The latency of a watch is that of its first response
    Given takeover entries that can tell new requests from repeats
    When a takeover watch is opened
    Then takeover notifications reach the caller 4 s later
    And the takeover entries recorded one latency, under 1 s
