@real-time @long
Feature: kumquat-entry starts, exits and drops bad datagrams as an operator expects

  Guards against an entry that keeps running after a failed start, ignores SIGTERM or
  starts with invalid settings, and against a flood of bad datagrams that fills the
  log or goes uncounted.

  Scenario Outline: An occupied port is reported, and the entry exits
    Given an entry's settings at 127.15.0.<host>
    And port <port> of 127.15.0.<host> is taken over <protocol>
    When the entry is started
    Then the entry exits with status 6 and logs "Cannot start"

    Examples:
      | host | port | protocol |
      | 1    | 7200 | TCP      |
      | 2    | 7300 | TCP      |
      | 3    | 6080 | UDP      |
      | 4    | 7100 | UDP      |

  Scenario: An entry shuts down gracefully on SIGTERM
    Given an entry's settings at 127.15.0.5
    When the entry is started
    And the entry receives SIGTERM once its admin port answers
    Then the entry exits with status 0 and logs "has handed over; exiting"

  Scenario: An entry with invalid settings does not start
    Given an entry's settings at 127.15.0.6
    And the entry's settings contain "admin_port = 73000"
    When the entry is started
    Then the entry exits with status 3 and logs "admin_port"

  Scenario Outline: Bad datagrams are dropped, counted by reason, and logged sparingly
    Given an entry's settings with a digest key at 127.15.0.<host>
    When the entry is started
    And 100 datagrams of <kind> arrive at port <port> from 127.15.0.<source>
    Then the entry counts 100 drops for "<reason>"
    And the entry exits with status 0 on SIGTERM, after logging at most 10 lines

    Examples:
      | host | kind               | port | source | reason          |
      | 11   | garbage            | 6080 | 100    | malformed       |
      | 12   | nothing            | 6080 | 100    | malformed       |
      | 13   | an unknown service | 6080 | 100    | unknown-service |
      | 14   | a fragment         | 6080 | 100    | fragment        |
      | 15   | an unknown service | 6080 | 101    | stranger        |
      | 16   | garbage            | 7100 | 101    | not-authentic   |
