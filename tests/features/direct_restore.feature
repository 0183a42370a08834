@long
Feature: A store that comes back from an older copy misleads no entry

  Guards against changes that are missed, late or taken back after the store came back
  from a copy some seconds old. What was written since is lost until it is written
  again, revisions go back and are given out again.

  Background:
    Given a store with 60 objects and a bound of 3 s for changes

  Scenario Outline: A change after the store was restored arrives in time
    Given a domain of <count> entries that has been running for 8 s
    And open watches <watches> when the store is restored
    When <trouble>
    And the store comes back <times> times from a copy that lacks <lost> changes, after <away> s
    And what was lost is written again <again> s later
    And an object changes 0 s later
    Then every entry that reaches the store has it within <limit> s
    And within 4 s every live entry has the objects of the store

    # Once the store has been healthy for 4 s, or 3 s after the change.
    Examples: the store alone
      | count | watches | times | lost | away | trouble         | again | limit |
      | 12    | hang    | 1     | 20   | 0    | nothing happens | 1     | 3.0   |
      | 12    | break   | 1     | 20   | 0    | nothing happens | 1     | 3.0   |
      | 12    | break   | 1     | 200  | 0    | nothing happens | 1     | 3.0   |
      | 12    | hang    | 1     | 20   | 0.5  | nothing happens | 1     | 3.0   |
      | 12    | break   | 1     | 20   | 0.5  | nothing happens | 1     | 3.0   |
      | 12    | break   | 1     | 200  | 0.5  | nothing happens | 1     | 3.0   |
      | 12    | break   | 1     | 200  | 2    | nothing happens | 1     | 3.0   |
      | 12    | hang    | 1     | 200  | 0.5  | nothing happens | 0     | 3.95  |
      | 12    | break   | 2     | 200  | 0.5  | nothing happens | 1     | 3.0   |
      | 40    | break   | 1     | 200  | 0.5  | nothing happens | 1     | 3.0   |
      | 2     | hang    | 1     | 20   | 0    | nothing happens | 0     | 3.95  |
      | 2     | break   | 2     | 200  | 0.5  | nothing happens | 1     | 3.0   |

    Examples: the store and its readers
      | count | watches | times | lost | away | trouble                                                 | again | limit |
      | 12    | break   | 1     | 200  | 0.5  | one reader is killed                                    | 1     | 3.0   |
      | 12    | break   | 1     | 200  | 0.5  | both readers are killed                                 | 1     | 3.0   |
      | 12    | break   | 1     | 200  | 0.5  | both readers pause                                      | 1     | 3.0   |
      | 12    | break   | 1     | 200  | 0.5  | the store does not answer both readers                  | 1     | 3.0   |
      | 12    | break   | 1     | 200  | 0.5  | both readers are cut off from their peers and the store | 1     | 3.0   |
      | 12    | hang    | 1     | 200  | 0    | both readers are cut off from their peers and the store | 0     | 3.95  |

  Scenario: An entry that was cut off from the store while it was restored misses no change
    Given a domain of 2 entries that has been running for 8 s
    And open watches break when the store is restored
    When the first entry is cut off from the store until it is restored and its revisions are passed
    Then within 4 s every entry has the objects of the store

  Scenario: A reader that has not noticed the restore is not followed
    Given a domain of 12 entries that has been running for 8 s
    And open watches break when the store is restored
    When one reader is cut off from the store
    And the store comes back 1 times from a copy that lacks 20 changes, after 0.5 s
    And what was lost is written again 1 s later
    And an object changes 0 s later
    Then every entry that reaches the store has it within 3.0 s
    And within 4 s every entry that reaches the store has its objects

  Scenario: Objects known only before the restore do not stay
    Given a domain of 12 entries that has been running for 8 s
    And open watches break when the store is restored
    When 5 objects are created that a restored copy lacks and nobody writes again
    Then within 8 s every entry has the objects of the store
    And every entry learned of the restore

  Scenario: After any series of restores and faults every entry knows what the store has
    Then for any series of changes, restores and faults all entries agree with the store in time
    And no entry's revision has gone back
