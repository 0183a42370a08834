Feature: Metrics count by reason and measure latencies per profile

  Scenario: A counter has a value for each member of its enum
    Given metrics with a counter of dropped packets
    When 3 packets are counted as "malformed"
    Then the metrics page has the line "kumquatshift_drops_total{reason="malformed"} 3"
    And the metrics page has the line "kumquatshift_drops_total{reason="stranger"} 0"
    And the metrics page has the line "# TYPE kumquatshift_drops_total counter"

  Scenario: A gauge is read whenever the page is
    Given metrics with a gauge of flows
    When the gauge of flows goes to 7
    Then the metrics page has the line "kumquatshift_flows 7"

  Scenario: Latencies are kept for each profile
    Given metrics of latencies
    When the profile "urgent alert" has latencies of 1 to 1000 ms
    And the profile "bulk" has a latency of 2 s
    Then the latency of "urgent alert" at 50 percent is 0.5 s, within 1%
    And the latency of "urgent alert" at 99 percent is 0.99 s, within 1%
    And the latency of "bulk" at 99 percent is 2 s, within 1%
    And the metrics page has the line "kumquatshift_latency_seconds_count{profile="urgent alert"} 1000"

  Scenario Outline: Recent latencies leave the page in time, all others stay
    Given metrics of latencies
    When the profile "bulk" has a latency of 2 s
    And the metrics' clock goes on by <passed> s
    Then the metrics page has the line "kumquatshift_latency_seconds_count{profile="bulk"} 1"
    And the metrics page has the line "kumquatshift_recent_latency_seconds_count{profile="bulk"} <recent>"

    Examples:
      | passed | recent |
      | 0      | 1      |
      | 59     | 1      |
      | 61     | 1      |
      | 121    | 0      |

  Scenario Outline: A latency out of range counts as the end of the range
    Given metrics of latencies
    When the profile "bulk" has a latency of <given> s
    Then the latency of "bulk" at 99 percent is <counted> s, within 1%

    Examples:
      | given  | counted  |
      | -1     | 0.000001 |
      | 0      | 0.000001 |
      | 100000 | 3600     |

  Scenario: The number of profiles is bounded
    Given metrics of latencies
    When 1500 profiles have a latency each
    Then 1001 profiles are kept, and the page counts 500 under "(others)"

  Scenario: A profile's name cannot break the page
    Given metrics of latencies
    When a profile named with a quote and a line end has a latency
    Then every line of the metrics page is a comment or a value

  Scenario: A metric's name is taken once
    Given metrics with a counter of dropped packets
    Then another counter of dropped packets is refused
