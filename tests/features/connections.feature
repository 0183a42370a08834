Feature: A target gets about as many flows as its connection limit allows

  Guards against targets that get more connections than their limit because nine
  entries place flows independently, and against callers that wait for a connection
  that no target can accept.

  Scenario: Flows beyond the connection limits are reset at once
    Given 2 targets behind nine entries, with a limit of 300 connections each
    When callers open 900 TCP flows
    Then each target has from 240 to 360 connections
    And all other flows were reset at once
