Feature: The sweep is quick after a change and takes its time in between

  Scenario: A settled entry looks at each flow once in ten seconds
    Given a sweep over 20000 flows at an entry whose ring has settled
    Then the sweep looks at 2000 to 2100 flows in the next second

  Scenario: A change of the ring makes it quick again
    Given a sweep over 20000 flows at an entry whose ring has settled
    When another entry appears to the sweep
    Then the sweep looks at 15000 to 16000 flows in the next second

  Scenario Outline: A flow is forgotten soon after its idle timeout: <flows> flows
    Given a sweep over <flows> flows at an entry whose ring has settled
    When the flows of the sweep stay idle for 600 s
    Then the sweep has forgotten them all 20 s later

    Examples:
      | flows |
      | 1     |
      | 100   |
      | 20000 |
