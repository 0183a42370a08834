@real-time @long
Feature: Entries keep their guarantees under a series of faults

  Guards against guarantees that hold under single faults but not under a series of them.
  Runs real entry processes; tests/soak lists the faults and the checks.

  Scenario Outline: A short soak run
    When the soak test runs with seed <seed> for 20 s
    Then the soak test finds no violated guarantee

    Examples:
      | seed |
      | 1    |

  Scenario: A short soak run whose store comes back from older copies
    When the soak test runs with seed 2 for 20 s, first with restore_store,change_configuration,restore_store,evacuate
    Then the soak test finds no violated guarantee

  Scenario: A short soak run in which idle connections fall silent just before a change
    When the soak test runs with seed 7 and 20 entries for 22 s, first with reload_entries,reload_entries,reload_entries,hush_before_change,reload_entries,evacuate,reload_entries,reload_entries
    Then the soak test finds no violated guarantee

  Scenario: Restores of the store that overlap lose nothing that was written last
    Given a store of the soak with configuration 1
    And a restore of the store has begun
    And configuration 2 has been written
    And another restore of the store has begun
    When both restores end, in this order, before the operator writes again
    And 2 s pass
    Then the store has configuration 2
