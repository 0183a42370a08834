Feature: Every kind of error maps to exactly one response code

  Guards against an error kind that is added without a response code.

  Scenario: Every kind of error has its response code
    Then every error kind has exactly one response code
