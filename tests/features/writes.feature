Feature: Operators get true reports of their writes

  Guards against a report that a write was made when it was not, or the reverse, and
  against a write that takes effect twice. Both come about when an operator's requests
  or answers are lost or late, reads are stale, or operators write the same object.

  Scenario Outline: No report is false despite lost, late or stale answers: fault share <share>
    When 300 sites of 3 operators write 4 times each with a fault share of <share>
    Then no report of a write is false, and no write took effect twice
    And at most <unknown> in 100 reports are "unknown"
    And a writer that takes a lost answer for a lost write is wrong at least <naive> times

    Examples:
      | share | unknown | naive |
      | 0     | 0       | 0     |
      | 0.1   | 1       | 1     |
      | 0.3   | 10      | 1     |
      | 0.6   | 100     | 1     |
