Feature: What an operator is told about a write is true

  Scenario Outline: Whatever is lost, late or stale, no report is false: share of faults <faulty>
    When 300 sites of 3 operators write 4 times each with a share of faults of <faulty>
    Then no report of a write is false, and no write took effect twice
    And at most <unknown> in 100 reports are "unknown"
    And believing that a lost answer is a lost write is false at least <naive> times

    Examples:
      | faulty | unknown | naive |
      | 0      | 0       | 0     |
      | 0.1    | 1       | 1     |
      | 0.3    | 10      | 1     |
      | 0.6    | 100     | 1     |
