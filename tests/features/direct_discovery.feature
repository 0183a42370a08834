@long
Feature: Entries of a domain find each other whenever they start, through any seed

  Guards against an entry that finds no other and takes itself for the only one of its
  domain. Entries divide the limit of a cold target among them, so such an entry sends
  it more flows than it can take. Seeds may be in other domains, and may have started
  long before or just now.

  Scenario Outline: An entry that starts late finds its domain through a seed elsewhere
    Given a site whose seeds are <seeds>, with entries <entries>
    And it has been running for <seconds> s
    When entry b-9 starts
    Then within 2 s the entries of domain b know each other

    Examples:
      | seeds    | entries       | seconds |
      | a-1      | a-1, b-1, b-2 | 10      |
      | a-1      | a-1, b-1, b-2 | 40      |
      | a-1      | a-1, b-1, b-2 | 300     |
      | a-1, b-1 | a-1, b-1, b-2 | 40      |
      | a-1, c-1 | c-1, b-1, b-2 | 40      |

  Scenario Outline: Entries that have lost each other find each other again
    Given a site whose seeds are a-1, with entries a-1, b-1, b-2, b-3
    And it has been running for 40 s
    When no datagrams pass between <cut> for 20 s
    Then within 8 s the entries of domain b know each other

    Examples:
      | cut                  |
      | b-1 and b-2          |
      | b-1 and b-2, b-3     |
      | b-1 and a-1, b-2, b-3 |

  Scenario Outline: A seed that starts again learns of the entries that are alive
    Given a site whose seeds are a-1, with entries a-1, b-1, b-2
    And it has been running for 40 s
    When entry a-1 starts again
    And entry b-9 starts <seconds> s later
    Then within 8 s the entries of domain b know each other

    Examples:
      | seconds |
      | 0       |
      | 2       |
      | 6       |

  Scenario Outline: Entries never take more than the limit of a cold target together
    Given a site whose seeds are a-1, with entries <entries>
    And it has been running for 40 s
    When <event>
    Then for 20 s the entries of domain b share at most 11 flows a second

    # A target that takes 4 flows a second: 4 x 1.5 + 5.
    Examples:
      | entries                 | event                                    |
      | a-1, b-1, b-2           | entry b-9 starts                         |
      | a-1, b-1, b-2, b-3, b-4 | entry b-9 starts                         |
      | a-1, b-1, b-2           | entry a-1 starts again, and b-9 with it  |

  Scenario: A query that brings nothing new is not answered
    Given a site whose seeds are a-1, with 20 entries in b and one in a
    And it has been running for 40 s
    Then for 60 s the seed a-1 sends nothing to other domains
