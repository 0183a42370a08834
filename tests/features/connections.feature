Feature: A target gets about as many flows as it can hold

  Scenario: Flows beyond what the targets hold are refused at once
    Given connections of 300 each at 2 targets behind nine entries
    When connections see 900 new TCP flows
    Then connections at each target are from 240 to 360
    And connections beyond that were reset at once
