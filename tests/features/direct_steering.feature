Feature: With direct return any entry forwards any flow without a record of it

  Guards against flows that break when their packets reach an entry that has never
  seen them, and against packets that reach a target they don't belong to. An entry
  finds the target by the cookie that the packet carries. Packets may be malformed
  or forged, and cookies may be for another address or of an earlier start.

  Scenario: Flows keep their targets while entries start and fail
    Given a direct site of entries in a, a, b with 3 targets in a and 2 in b
    When 30 callers send 60 requests a second for 2 s
    And another entry starts in a with only the store's list
    And the first entry fails
    And 30 callers send 60 requests a second for 2 s
    Then every request was answered at its first try
    And no target received a packet of a flow unknown to it

  Scenario: An entry that starts after a route change forwards older flows
    Given a direct site of entries in a with 2 targets in a and 0 in b
    When 10 callers send 20 requests a second for 1 s
    And the route moves to another service, and all entries restart
    And the same callers send 20 requests a second for 1 s
    Then every request was answered at its first try

  Scenario Outline: A packet that belongs to no flow reaches no target
    Given a direct site of entries in a with 2 targets in a and 0 in b
    When an entry receives a packet that is <kind>
    Then the entry answers with <answer>
    And no target received a packet

    Examples:
      | kind                                   | answer                    |
      | cut short                              | a drop for malformed      |
      | longer than its header says            | a drop for malformed      |
      | a SYN without a route                  | a reset                   |
      | data without a route                   | a reset                   |
      | a SYN-ACK as from a target             | a drop for forged         |
      | data with a random cookie              | a drop for unknown_cookie |
      | data with a cookie for another address | a drop for unknown_cookie |
      | data with a cookie of an earlier start | a drop for unknown_cookie |

  Scenario: An entry that does not know all routes drops, so that callers retry
    Given a direct site of entries in a with 2 targets in a and 0 in b
    And its entries have lost contact to the store
    When an entry receives a packet that is a SYN without a route
    Then the entry answers with a drop for route_unknown_yet

  Scenario: A flow whose target has drained and terminated is reset at once
    Given a direct site of entries in a, a with 2 targets in a and 0 in b
    When 20 callers send 40 requests a second for 1 s
    And the first target drains for 3 s and leaves the list
    And the same callers send 40 requests a second for 1 s
    Then every request was answered within 0.1 s

  Scenario: A flow that no entry knows is reset when its caller retransmits
    Given a direct site of entries in a with 2 targets in a and 0 in b
    When 20 callers send 40 requests a second for 1 s
    And the first target fails before another entry takes over
    And the same callers send 40 requests a second for 1 s
    Then every request was answered within 0.3 s

  Scenario: Two SYN-ACKs for one SYN do not break its flow
    Given a direct site of entries in a with 2 targets in a and 0 in b
    When a caller opens a flow whose first SYN-ACK takes 0.7 s
    Then its request runs at one target, and its caller receives no reset

  Scenario Outline: The weights of a route give the same result on every entry
    Given two entries with a route to <weights>
    When 4000 flows are placed on each
    Then both place each flow alike, within 0.05 of the weights

    Examples:
      | weights              |
      | tills 1              |
      | tills 90, stock 10   |
      | tills 1, stock 1     |
      | tills 0, stock 5     |

  Scenario: A configuration is never replaced by an older one
    Given a direct site of entries in a with 2 targets in a and 0 in b
    When configurations arrive in the order 3, 7, 5, 7, 6
    Then version 7 is in force

  Scenario: The flow table is bounded
    When 300 flows are added to a table for 100
    Then it holds the last 100 and has evicted 200
    And the target counts only the flows in the table
