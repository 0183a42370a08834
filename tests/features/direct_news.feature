@long
Feature: Two readers in each domain pass updates of the store to their peers

  Guards against a load on the store that grows with the number of entries, and
  against entries that miss a change. Two entries of a domain, the readers, watch
  the store and pass updates to the other entries. Readers may be killed, pause or
  lose the store, heartbeats may be lost, and the store may refuse or not answer.

  Background:
    Given a store with 60 objects and a bound of 3 s for changes

  Scenario Outline: Calls to the store do not grow with the number of entries in a domain
    Given a domain of <count> entries that has been running for 8 s
    When it runs for 20 s with a change each second
    Then <readers> entries made calls, at most <calls> in all
    And every entry has every change

    Examples:
      | count | readers | calls |
      | 8     | 2       | 90    |
      | 20    | 2       | 90    |
      | 40    | 2       | 90    |

  Scenario: With fewer than six entries each entry reads for itself
    Given a domain of 3 entries that has been running for 8 s
    When it runs for 20 s with a change each second
    Then 3 entries made calls, at most 250 in all

  Scenario Outline: A change arrives in time whatever happens to the readers
    Given a domain of 12 entries that has been running for 8 s
    And heartbeats are lost with probability <loss>
    When <trouble>
    And an object changes <after> s later
    Then every entry that reaches the store has it within 3.0 s

    Examples:
      | trouble                                                 | loss | after |
      | nothing happens                                         | 0    | 0     |
      | nothing happens                                         | 0.3  | 0     |
      | one reader is killed                                    | 0    | 0     |
      | both readers are killed                                 | 0    | 0     |
      | both readers are killed                                 | 0.3  | 0     |
      | both readers pause                                      | 0    | 0     |
      | the store refuses both readers                          | 0    | 0     |
      | the store does not answer both readers                  | 0    | 0     |
      | the store does not answer both readers                  | 0    | 1.0   |
      | both readers are cut off from their peers and the store | 0    | 0     |

  Scenario Outline: Once the store has been healthy for the stable window, all changes have arrived
    When in domains of <count> entries the store <trouble> for <seconds> s, each in another phase of its watches
    And in each domain an object changes 0.05 s later
    Then every entry of each domain has it within 3.95 s

    Examples:
      | count | trouble   | seconds |
      | 8     | is silent | 1       |
      | 8     | is silent | 4       |
      | 8     | refuses   | 3       |
      | 2     | is silent | 0.2     |
      | 2     | is silent | 4       |
      | 2     | refuses   | 3       |

  Scenario Outline: A silent store does not leave followers deaf to their readers
    Given a bound of <bound> s for changes and a stable window of <stable> s
    When in domains of 7 entries the store is silent for <seconds> s, each in another phase of its watches
    And in each domain an object changes 0.05 s later
    Then every entry of each domain has it within <limit> s

    Examples:
      | bound | stable | seconds | limit |
      | 3     | 4      | 2       | 3.95  |
      | 3     | 4      | 3       | 3.95  |
      | 5     | 5      | 2.5     | 4.95  |
      | 5     | 5      | 3       | 4.95  |
      | 5     | 5      | 4.5     | 4.95  |

  Scenario Outline: Readers that were suspended do not pass on old state as fresh
    Given a bound of <bound> s for changes and a stable window of <stable> s
    When in domains of 12 entries both readers are suspended for <seconds> s, each in another phase of its watches
    And each domain has had a change since they were suspended
    Then every entry that was not suspended has it within <limit> s of the change

    Examples:
      | bound | stable | seconds | limit |
      | 3     | 4      | 1       | 3.0   |
      | 3     | 4      | 2       | 3.0   |
      | 5     | 5      | 1       | 5.0   |
      | 5     | 5      | 2       | 5.0   |
      | 5     | 5      | 3       | 5.0   |

  Scenario: A heartbeat after a suspension tells the true age of updates
    Given an entry that has read the store 0.2 s ago and then is suspended for 6 s
    Then its next heartbeat tells an age of 6.2 s

  Scenario: Entries that start during an outage of the store learn from their peers
    Given a domain of 8 entries that has been running for 8 s
    When the store refuses from now on
    And 3 more entries start
    Then the new entries have all objects within 4 s

  Scenario: A new reader does not send all objects to all its peers
    Given a domain of 20 entries that has been running for 8 s
    When 4 more entries start
    And it runs for 5 s with a change each second
    Then at most 4 full copies of the objects were requested from peers

  Scenario: Differences in a list after an outage are passed on as changes
    Given a domain of 12 entries that has been running for 8 s
    When objects are deleted and created while the store does not answer for 6 s
    Then within 4 s every entry has the objects of the store
    And at most 2 full copies of the objects were requested from peers

  Scenario Outline: During an outage of the store only the readers retry often
    Given a domain of 20 entries that has been running for 8 s
    When the store <trouble> for 10 s
    Then at most <calls> calls were made during that time
    When an object changes 0.1 s later
    Then every entry that reaches the store has it within 3.0 s

    Examples:
      | trouble   | calls |
      | refuses   | 250   |
      | is silent | 250   |

  Scenario: Followers learn that their readers had lost contact to the store
    Given a domain of 12 entries that has been running for 8 s
    When objects are deleted and created while the store does not answer for 6 s
    Then within 4 s every entry has the objects of the store
    And every entry learned of the loss before it applied a change

  Scenario Outline: A large change spreads without filling the link of any entry
    Given answers of <kb> kB and links of <mbps> Mbit/s
    And a domain of <count> entries that has been running for 8 s
    And heartbeats are lost with probability <loss>
    When an object changes 0 s later
    Then every entry that reaches the store has it within <limit> s
    And no entry sent more than <answers> long answers within a second
    And at most 2 entries requested it from the store

    Examples:
      | kb | mbps | count | loss | limit | answers |
      | 36 | 5    | 12    | 0    | 1.5   | 5       |
      | 36 | 5    | 12    | 0.3  | 2.0   | 5       |
      | 60 | 5    | 16    | 0    | 2.0   | 3       |
      | 60 | 10   | 40    | 0    | 2.0   | 6       |
      | 36 | 1000 | 12    | 0    | 1.5   | 12      |
