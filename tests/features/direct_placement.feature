Feature: New flows are placed where they are served best

  Scenario: Flows stay in their failure domain while it can bear them
    Given a direct site of entries in a, b with 3 targets in a and 3 in b
    When 40 callers in a send 100 requests a second for 2 s
    Then all flows are at targets in a, within 2 of each other

  Scenario Outline: Flows leave a domain that has no usable target
    Given a direct site of entries in a, b with 2 targets in a and 3 in b
    And <why>
    When 30 callers in a send 60 requests a second for 1 s
    Then all flows are at targets in b, within 2 of each other
    And every request was answered at its first try

    Examples:
      | why                            |
      | domain a is evacuated          |
      | the targets in a drain         |
      | the targets in a left the list |

  Scenario: A service whose limits were not told is served all the same
    Given a direct site of entries in a with 2 targets in a and 0 in b
    And a configuration that tells no limits
    When 10 callers in a send 40 requests a second for 1 s
    Then every request was answered at its first try

  Scenario: A domain that is cut off goes on with its own targets
    Given a direct site of entries in a, b with 2 targets in a and 3 in b
    When 30 callers in a send 60 requests a second for 1 s
    And domain b is cut off from domain a
    And the same callers send 60 requests a second for 3 s
    Then every request was answered at its first try

  Scenario Outline: Targets missing from a list that was out of reach get time to return
    Given a direct site of entries in a with 2 targets in a and 0 in b
    When 10 callers send 40 requests a second for 1 s
    And the store comes back with an empty list after <event>
    Then new flows go to <where> for the next <seconds> s

    Examples:
      | event                     | where      | seconds |
      | an outage                 | targets    | 2.0     |
      | an outage, and 2.6 s more | no target  | 1.0     |

  Scenario Outline: What no target can take is refused at once
    Given a direct site of entries in a with <targets> targets in a and 0 in b
    And <why>
    When a caller opens a flow
    Then it is refused within 0.01 s

    Examples:
      | targets | why                           |
      | 0       | nothing else                  |
      | 2       | domain a is evacuated         |
      | 2       | every target has 2000 flows   |

  Scenario Outline: A cold target gets what it bears, over all entries together
    Given a direct site of entries in <entries> with 0 targets in a and 0 in b
    And a target in a that stays cold for 6 s and bears <per_s> flows a second
    When 400 new callers come, 80 a second
    Then the cold target gets at most <limit> flows in any second, and <least> in all

    Examples:
      | entries       | per_s | limit | least |
      | a             | 0     | 5     | 15    |
      | a, a, a       | 0     | 5     | 9     |
      | a, a, b, b    | 4     | 11    | 20    |

  Scenario: A burst of three times the capacity leaves what is served at 0.9 of it
    Given a direct site of entries in a, a with 4 targets in a and 0 in b
    When 300 callers send 1200 requests a second for 3 s
    Then the targets run at least 0.9 of what they can in that time

  Scenario Outline: What a new flow costs does not grow with the targets
    Given a direct site of entries in a with <near> targets in a and <far> in b
    When <flows> flows are opened at once
    Then at most <looks> targets are compared for each, and no target has over <most>
    And with none suspected, none is looked at for lost flows

    Examples: three flows for each near target
      | near | far  | flows | looks | most |
      | 12   | 36   | 36    | 24    | 3    |
      | 100  | 300  | 300   | 64    | 4    |
      | 750  | 2250 | 2250  | 64    | 4    |
