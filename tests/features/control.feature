@long
Feature: Control traffic stays within a few kilobytes a second

  Guards against messages between entries, or watches on the platform, that grow
  with the number of flows or entries. The load is 1,000 new flows a second and
  100,000 open flows over nine entries. Sizes are those of the real codec, plus
  44 bytes a datagram for digest, UDP and IP header. Relayed packets don't count as
  control traffic.

  Scenario: At most 4,096 bytes a second in steady state, and on average after one kill
    Given nine entries with 100,000 open flows
    When the entries run for 5 s with 1,000 new flows a second
    Then control traffic of each entry is at most 4,096 bytes a second
    When the entries run for 20 s after one of them is killed
    Then control traffic of each entry is at most 4,096 bytes a second
    And records have been replicated in the background since the kill

  Scenario: One message for each record would exceed the limit
    Then sending 1,000 single records a second to two standbys takes over 4,096 bytes a second

  Scenario Outline: Watches on the platform do not grow with the number of entries in a domain
    Given <entries> entries in each of four domains
    Then the entries of each domain hold <watches> watches

    Examples:
      | entries | watches |
      | 1       | 1       |
      | 3       | 2       |
      | 6       | 2       |
      | 12      | 2       |
