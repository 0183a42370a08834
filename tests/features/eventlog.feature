Feature: Decisions are told as bounded lines, which never hold up a packet

  Scenario Outline: A flood of one event leaves room for the others
    Given an event log whose reader reads
    When <count> lines of "<event>" and 3 of "target suspected" come in a second
    Then <lines> lines of "<event>" and 3 of "target suspected" were written
    And the next second begins with what was left out: <left> of "<event>"
    And the counters are whole

    Examples:
      | count | event          | lines | left |
      | 10    | flow opened    | 10    | 0    |
      | 5000  | flow opened    | 20    | 4980 |
      | 5000  | packet dropped | 50    | 4950 |
      | 5000  | flow refused   | 50    | 4950 |

  Scenario: A reader that does not read costs lines, and no time
    Given an event log whose reader does not read
    When 200 seconds pass with 50 lines of "flow refused" each
    Then all calls together took less than 2 s
    And the log holds no more than its bound, and counts what it left out

  Scenario: Lines are JSON objects that name flows for people
    Given an event log whose reader reads
    When a flow from 100.64.0.7:1031 to 198.18.0.1:443 is told of
    Then its line has the flow as 100.64.0.7:1031>198.18.0.1:443, and the time
