Feature: Entries keep their promises while faults come in series

  Scenario Outline: A short run of the soak
    When the soak runs seed <seed> for 20 s
    Then no promise was broken

    Examples:
      | seed |
      | 1    |
