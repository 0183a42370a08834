@long
Feature: No chain of dead connections adds up to more than the bounds allow

  Guards against steps that are each in time and late together: silence, the rest of a
  watch, a list in pages, heartbeats that are lost, a peer's dead connection, a call of
  the follower's own. Guards also against a fault that meets a restart of readers.

  Scenario Outline: The longest chain from a dead watch to the last entry ends in time
    Given a bound of <bound> s for changes and a stable window of <stable> s
    And heartbeats are lost with probability 0.3
    When in domains of <count> entries with <objects> objects all connections fall silent, in 40 phases 0.11 s apart
    And each domain has changes 0.01 s and 0.7 s later
    Then every change of each domain is known within <limit> s of it or <stable> s of the silence

    Examples:
      | bound | stable | count | objects | limit |
      | 3     | 4      | 3     | 300     | 3     |
      | 3     | 4      | 7     | 300     | 3     |
      | 5     | 5      | 3     | 1       | 5     |
      | 5     | 5      | 7     | 1       | 5     |
      | 5     | 5      | 7     | 300     | 5     |
      | 5     | 6      | 7     | 300     | 5     |

  Scenario: After any series of silences, kills and restarts changes are known in time
    Then for any series of silences, kills, restarts and changes no entry is late
