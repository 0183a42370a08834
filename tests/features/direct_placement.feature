@long
Feature: New flows are placed on the targets that can serve them

  Guards against new flows on targets that are evacuated, draining, gone, full or
  still cold, while others have room; against flows that leave their failure domain
  without need; and against placement whose cost grows with the number of targets.

  Scenario: Flows stay in their failure domain while it has capacity
    Given a direct site of entries in a, b with 3 targets in a and 3 in b
    When 40 callers in a send 100 requests a second for 2 s
    Then all flows are on targets in a, within 2 of each other

  Scenario Outline: Flows leave a domain that has no usable target
    Given a direct site of entries in a, b with 2 targets in a and 3 in b
    And <condition>
    When 30 callers in a send 60 requests a second for 1 s
    Then all flows are on targets in b, within 2 of each other
    And every request was answered at its first try

    Examples:
      | condition                             |
      | domain a is evacuated                 |
      | the targets in a drain                |
      | the targets in a are no longer listed |

  Scenario: A service without configured limits is served as well
    Given a direct site of entries in a with 2 targets in a and 0 in b
    And a configuration without limits
    When 10 callers in a send 40 requests a second for 1 s
    Then every request was answered at its first try

  Scenario: A domain that is cut off keeps serving with its own targets
    Given a direct site of entries in a, b with 2 targets in a and 3 in b
    When 30 callers in a send 60 requests a second for 1 s
    And domain b is cut off from domain a
    And the same callers send 60 requests a second for 3 s
    Then every request was answered at its first try

  Scenario Outline: Targets missing from the list after an outage of the store get time to re-register
    Given a direct site of entries in a with 2 targets in a and 0 in b
    When 10 callers send 40 requests a second for 1 s
    And the store returns an empty list after <event>
    Then new flows go to <where> for the next <seconds> s

    Examples:
      | event                      | where     | seconds |
      | an outage                  | targets   | 2.0     |
      | an outage, and 2.6 s later | no target | 1.0     |

  Scenario Outline: A flow that no target can take is refused at once
    Given a direct site of entries in a with <targets> targets in a and 0 in b
    And <condition>
    When a caller opens a flow
    Then the flow is refused within 0.01 s

    Examples:
      | targets | condition                   |
      | 0       | no further condition        |
      | 2       | domain a is evacuated       |
      | 2       | every target has 2000 flows |

  Scenario Outline: A cold target gets no more flows than it can take, over all entries together
    Given a direct site of entries in <entries> with 0 targets in a and 0 in b
    And a target in a that stays cold for 6 s and accepts <per_s> flows a second
    When 400 new callers open a flow each, 80 a second
    Then the cold target gets at most <limit> flows in any second, and at least <least> in total

    Examples:
      | entries       | per_s | limit | least |
      | a             | 0     | 5     | 15    |
      | a, a, a       | 0     | 5     | 9     |
      | a, a, b, b    | 4     | 11    | 20    |

  Scenario: Under three times the capacity, at least 0.9 of the capacity is served
    Given a direct site of entries in a, a with 4 targets in a and 0 in b
    When 300 callers send 1200 requests a second for 3 s
    Then the targets serve at least 0.9 of their capacity in that time

  Scenario Outline: The cost of a new flow does not grow with the number of targets
    Given a direct site of entries in a with <near> targets in a and <far> in b
    When <flows> flows are opened at once
    Then at most <compared> targets are compared for each, and no target has over <most>
    And without suspected targets, no target is checked for lost flows

    Examples: three flows for each target in the entry's domain
      | near | far  | flows | compared | most |
      | 12   | 36   | 36    | 24       | 3    |
      | 100  | 300  | 300   | 64       | 4    |
      | 750  | 2250 | 2250  | 64       | 4    |
