Feature: Metrics count by reason and record latencies per profile

  Guards against counters, gauges and percentiles that misreport, a metrics page that a
  name can break, and memory that grows with the number of profiles.

  Scenario: A counter has one value per member of its enum
    Given metrics with a counter of dropped packets
    When 3 packets are counted as "malformed"
    Then the metrics page has the line "kumquatshift_drops_total{reason="malformed"} 3"
    And the metrics page has the line "kumquatshift_drops_total{reason="stranger"} 0"
    And the metrics page has the line "# TYPE kumquatshift_drops_total counter"

  Scenario: A gauge is read whenever the page is rendered
    Given metrics with a gauge of flows
    When the gauge of flows is set to 7
    Then the metrics page has the line "kumquatshift_flows 7"

  Scenario: Latencies are recorded per profile
    Given metrics of latencies
    When the profile "urgent alert" has latencies of 1 to 1000 ms
    And the profile "bulk" has a latency of 2 s
    Then the latency of "urgent alert" at 50 percent is 0.5 s, within 1%
    And the latency of "urgent alert" at 99 percent is 0.99 s, within 1%
    And the latency of "bulk" at 99 percent is 2 s, within 1%
    And the metrics page has the line "kumquatshift_latency_seconds_count{profile="urgent alert"} 1000"

  Scenario Outline: Recent latencies expire, total counts stay
    Given metrics of latencies
    When the profile "bulk" has a latency of 2 s
    And the metrics' clock advances by <passed> s
    Then the metrics page has the line "kumquatshift_latency_seconds_count{profile="bulk"} 1"
    And the metrics page has the line "kumquatshift_recent_latency_seconds_count{profile="bulk"} <recent>"

    Examples:
      | passed | recent |
      | 0      | 1      |
      | 59     | 1      |
      | 61     | 1      |
      | 121    | 0      |

  Scenario Outline: A latency out of range is clamped to the range
    Given metrics of latencies
    When the profile "bulk" has a latency of <latency> s
    Then the latency of "bulk" at 99 percent is <counted> s, within 1%

    Examples:
      | latency | counted  |
      | -1      | 0.000001 |
      | 0       | 0.000001 |
      | 100000  | 3600     |

  Scenario: The number of profiles is bounded
    Given metrics of latencies
    When 1500 profiles have a latency each
    Then 1001 profiles are kept and the page counts 500 under "(others)"

  Scenario: A profile's name is escaped on the page
    Given metrics of latencies
    When a profile with a quote and a line break in its name has a latency
    Then every line of the metrics page is a comment or a value

  Scenario: A metric's name can be registered only once
    Given metrics with a counter of dropped packets
    Then a second counter of dropped packets is refused
