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
