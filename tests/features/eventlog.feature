@real-time
Feature: Events are logged with bounded cost, and never delay a packet

  Guards against a flood of one event that hides the others, and against a log
  reader that does not keep up and so delays packets or makes the buffer grow.

  Scenario Outline: A flood of one event leaves room for the others
    Given an event log whose reader reads
    When <count> lines of "<event>" and 3 of "target suspected" are logged within a second
    Then <lines> lines of "<event>" and 3 of "target suspected" were written
    And the next second begins with the number of omitted lines: <left> of "<event>"
    And the counters include the omitted lines

    Examples:
      | count | event          | lines | left |
      | 10    | flow opened    | 10    | 0    |
      | 5000  | flow opened    | 20    | 4980 |
      | 5000  | packet dropped | 50    | 4950 |
      | 5000  | flow refused   | 50    | 4950 |

  Scenario: A reader that does not read loses lines, but causes no delay
    Given an event log whose reader does not read
    When 200 seconds pass with 50 lines of "flow refused" each
    Then all calls together took less than 2 s
    And the log buffers no more than its limit, and counts the lines left out

  Scenario: Lines are JSON objects with flows in readable form
    Given an event log whose reader reads
    When a flow from 100.64.0.7:1031 to 198.18.0.1:443 is logged
    Then its line contains the flow as 100.64.0.7:1031>198.18.0.1:443, and the time
