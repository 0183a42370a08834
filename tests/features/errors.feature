Feature: Errors are a closed list with one answer each

  Scenario: Every kind of error has its answer
    Then every error kind has exactly one answer
