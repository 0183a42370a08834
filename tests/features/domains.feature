@long
Feature: A failure domain taken out gets no packets, and the rest go on

  Guards against packets that still reach a domain after operators took it out,
  and against flows of other domains that break when the ring changes, when the
  order reaches entries late, twice or out of order, or while entries can't reach
  their peers or the platform. An order has to be in force within 3 s.

  Scenario Outline: Taken out: no packet from 3 s on, and no flow of another domain breaks
    Given domains with 400 open flows, <network>
    When domains <out> are taken out, and the order <order>
    Then the domains taken out receive no packet from 3 s on, for 60 s
    And the other domains have no broken flow

    Examples:
      | out  | order                                          | network                |
      | a    | reaches all watching entries at once           | a network without loss |
      | a    | reaches watching entries up to 2 s late        | a network without loss |
      | c    | reaches one watching entry, outside the domain | a network without loss |
      | b    | reaches watching entries twice, reordered      | lost packets           |
      | a, c | reaches all watching entries at once           | a network without loss |
      | b, d | reaches watching entries up to 2 s late        | lost packets           |

  Scenario: Taken out: the naive load balancer moves flows of other domains
    Given domains with 400 open flows, with the naive load balancer
    When domains a are taken out, and the order reaches all watching entries at once
    Then the domains taken out receive packets from 3 s on, or flows break

  Scenario: Taken out while one of its entries leaves: packets are not relayed there
    Given domains with 400 open flows, a network without loss
    When an entry of domain a leaves, and a is taken out
    And callers open 300 new flows
    Then the domains taken out receive no packet from 3 s on, for 60 s
    And the other domains have no broken flow

  Scenario Outline: Taken out and back in quick succession: the last order is in force
    Given domains with 400 open flows, a network without loss
    When domain a is taken out and back <turns> times, <gap> s apart, ending <end>
    Then all entries agree within 3 s that domain a is <end>
    And the other domains have no broken flow

    Examples:
      | turns | gap | end |
      | 3     | 0.3 | out |
      | 3     | 0.3 | in  |
      | 2     | 4   | out |
      | 2     | 4   | in  |
