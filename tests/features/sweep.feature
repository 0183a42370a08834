Feature: The flow table sweep is fast after a ring change and slow in between

  Guards against a sweep that takes CPU time from packets while nothing changes, that
  copies flows to a new holder too late, or that leaves idle flows in the table. It
  comes about when the pace of the sweep does not follow the state of the ring.

  Scenario: With a stable ring each flow is visited once in ten seconds
    Given a flow table sweep over 20000 flows at an entry with a stable ring
    Then the sweep visits 2000 to 2100 flows in the next second

  Scenario: A ring change speeds the sweep up
    Given a flow table sweep over 20000 flows at an entry with a stable ring
    When a second entry joins the sweep's ring
    Then the sweep visits 15000 to 16000 flows in the next second

  Scenario Outline: Flows are evicted soon after their idle timeout: <flows> flows
    Given a flow table sweep over <flows> flows at an entry with a stable ring
    When the swept flows stay idle for 600 s
    Then the sweep has evicted them all 20 s later

    Examples:
      | flows |
      | 1     |
      | 100   |
      | 20000 |
