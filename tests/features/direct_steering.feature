Feature: With direct return any entry forwards any flow, without a record of it

  Scenario: Flows stay at their targets while entries come and go
    Given a direct site of entries in a, a, b with 3 targets in a and 2 in b
    When 30 callers send 60 requests a second for 2 s
    And another entry starts in a with nothing but the store's list
    And the first entry is gone
    And 30 callers send 60 requests a second for 2 s
    Then every request was answered at its first try
    And no target got a packet of a flow that it did not hold

  Scenario: An entry that starts after a route has moved knows flows of before
    Given a direct site of entries in a with 2 targets in a and 0 in b
    When 10 callers send 20 requests a second for 1 s
    And the route moves to another service, and all entries start anew
    And the same callers send 20 requests a second for 1 s
    Then every request was answered at its first try

  Scenario Outline: A packet that names no flow of ours reaches no target
    Given a direct site of entries in a with 2 targets in a and 0 in b
    When a packet comes that is <kind>
    Then the entry answers with <answer>
    And no target got a packet

    Examples:
      | kind                                        | answer                  |
      | cut short                                   | a drop for malformed    |
      | longer than it says                         | a drop for malformed    |
      | an opening for no route                     | a reset                 |
      | data for no route                           | a reset                 |
      | an answer from a target                     | a drop for forged       |
      | data with a made-up cookie                  | a drop for unknown_cookie |
      | data with the cookie of another place       | a drop for unknown_cookie |
      | data with the cookie of an earlier start    | a drop for unknown_cookie |

  Scenario: An entry that does not know all routes lets callers try again
    Given a direct site of entries in a with 2 targets in a and 0 in b
    And its entries have lost the store
    When a packet comes that is an opening for no route
    Then the entry answers with a drop for route_unknown_yet

  Scenario: A flow whose target has drained and ended is reset at once
    Given a direct site of entries in a, a with 2 targets in a and 0 in b
    When 20 callers send 40 requests a second for 1 s
    And the first target drains for 3 s and leaves the list
    And the same callers send 40 requests a second for 1 s
    Then every request was answered within 0.1 s

  Scenario: A flow that no entry knows is reset when its caller sends again
    Given a direct site of entries in a with 2 targets in a and 0 in b
    When 20 callers send 40 requests a second for 1 s
    And the first target is gone before another entry takes over
    And the same callers send 40 requests a second for 1 s
    Then every request was answered within 0.3 s

  Scenario: Two answers to one opening do not tear its flow apart
    Given a direct site of entries in a with 2 targets in a and 0 in b
    When a caller opens a flow, whose first answer takes 0.7 s
    Then its request runs at one target, and no reset comes

  Scenario Outline: Weights of a route mean the same on every entry
    Given two entries with a route to <weights>
    When 4000 flows are placed on each
    Then both place each flow alike, within 0.05 of the weights

    Examples:
      | weights              |
      | tills 1              |
      | tills 90, stock 10   |
      | tills 1, stock 1     |
      | tills 0, stock 5     |

  Scenario: A configuration never goes back
    Given a direct site of entries in a with 2 targets in a and 0 in b
    When configurations come in the order 3, 7, 5, 7, 6
    Then version 7 is in force

  Scenario: The table of flows is bounded
    When 300 flows come to a table of 100
    Then it holds the last 100 and has evicted 200
    And no target is charged for more than it has
