Feature: A failure domain taken out gets no packets, and the rest go on

  The bound on "a few seconds" is 3 s.

  Scenario Outline: Out: no packet from 3 s on, and no flow of another domain breaks
    Given domains with 400 flows, <network>
    When domains <out> are taken out, and the order <order>
    Then domains out get no packet from 3 s on, for 60 s
    And domains in have no broken flow

    Examples:
      | out   | order                            | network         |
      | a     | reaches all readers at once      | a quiet network |
      | a     | reaches readers up to 2 s late   | a quiet network |
      | c     | reaches its peers through one    | a quiet network |
      | b     | reaches readers twice, reordered | lost packets    |
      | a, c  | reaches all readers at once      | a quiet network |
      | b, d  | reaches readers up to 2 s late   | lost packets    |

  Scenario: Out: the naive version moves flows of the other domains
    Given domains with 400 flows, with the naive version
    When domains a are taken out, and the order reaches all readers at once
    Then domains out do get packets from 3 s on, or flows break

  Scenario: Out while one of its entries leaves: packets are not looked up there
    Given domains with 400 flows, a quiet network
    When a domains entry of a leaves, and a is taken out
    And domains see 300 new flows
    Then domains out get no packet from 3 s on, for 60 s
    And domains in have no broken flow

  Scenario Outline: Out and in again in quick turn: the last order stands
    Given domains with 400 flows, a quiet network
    When domains a are taken out and back <turns> times, <gap> s apart, ending <end>
    Then domains all agree within 3 s that a is <end>
    And domains in have no broken flow

    Examples:
      | turns | gap | end |
      | 3     | 0.3 | out |
      | 3     | 0.3 | in  |
      | 2     | 4   | out |
      | 2     | 4   | in  |

  Scenario: Back: it starts cold, and has its share again within 60 s
    Given domains with 400 flows, a quiet network
    When domains a are taken out, and the order reaches all readers at once
    And domains a are brought back after 30 s
    Then domains a take less than half a share of new flows in the first 5 s
    And domains a take a full share of new flows 60 s later
    And domains in have no broken flow

  Scenario Outline: Cut off: each side serves its own, and agrees after healing
    Given domains with 200 flows, a quiet network
    When domain a is cut off from <what> for 30 s
    And domains see 150 new <kind> flows on each side of the cut
    And domains get an order to take d out during the cut
    Then domains serve the new flows on both sides
    And domains after healing all agree within 3 s
    And domains break no flow that was opened during the cut

    Examples:
      | what                   | kind |
      | its peers              | TCP  |
      | the platform           | TCP  |
      | the platform           | UDP  |
      | the platform and peers | TCP  |

  Scenario: Cut off: datagram flows opened meanwhile survive the healing
    Given domains with 200 flows, a quiet network
    When domain a is cut off from its peers for 30 s
    And domains see 150 new UDP flows on each side of the cut
    And domains get an order to take d out during the cut
    Then domains serve the new flows on both sides
    And domains after healing all agree within 3 s
    And domains break no flow that was opened during the cut
