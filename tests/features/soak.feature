Feature: Entries keep their guarantees under a series of faults

  Guards against guarantees that hold under single faults but not under a series of them.
  Runs real entry processes; tests/soak lists the faults and the checks.

  Scenario Outline: A short soak run
    When the soak test runs with seed <seed> for 20 s
    Then the soak test finds no violated guarantee

    Examples:
      | seed |
      | 1    |
