@long
Feature: A failure domain comes back, or is cut off, and no flow breaks

  Guards against packets that still reach a domain after operators took it out,
  and against flows of other domains that break when the ring changes, when the
  order reaches entries late, twice or out of order, or while entries can't reach
  their peers or the platform. An order has to be in force within 3 s.

  Scenario: Brought back: the domain warms up, and has its full share within 60 s
    Given domains with 400 open flows, a network without loss
    When domains a are taken out, and the order reaches all watching entries at once
    And domain a is brought back after 30 s
    Then domain a gets less than half its share of new flows in the first 5 s
    And domain a gets a full share of new flows 60 s later
    And the other domains have no broken flow

  Scenario Outline: Cut off: both sides serve new flows, and agree after the partition heals
    Given domains with 200 open flows, a network without loss
    When domain a is cut off from <what> for 30 s
    And callers open 150 new <kind> flows on each side of the cut
    And the platform orders to take domain d out during the cut
    Then the new flows are served on both sides
    And all entries agree within 3 s after the partition heals
    And no flow that was opened during the cut breaks

    Examples:
      | what                   | kind |
      | its peers              | TCP  |
      | the platform           | TCP  |
      | the platform           | UDP  |
      | the platform and peers | TCP  |

  Scenario: Cut off: datagram flows opened meanwhile survive the healing
    Given domains with 200 open flows, a network without loss
    When domain a is cut off from its peers for 30 s
    And callers open 150 new UDP flows on each side of the cut
    And the platform orders to take domain d out during the cut
    Then the new flows are served on both sides
    And all entries agree within 3 s after the partition heals
    And no flow that was opened during the cut breaks
