Feature: Control traffic stays within a few kilobytes a second

  At 1,000 new flows a second and 100,000 held, over nine entries; measured on
  the real codec, with 44 bytes a datagram for digest, UDP and IP header.
  Packets passed between entries are no control traffic.

  Scenario: Steady, and averaged after one kill: at most 4,096 bytes a second
    Given control of nine entries that hold 100,000 flows
    When control runs for 5 s with 1,000 new flows a second
    Then control of each entry is at most 4,096 bytes a second
    When control runs for 20 s after one entry is killed
    Then control of each entry is at most 4,096 bytes a second
    And control after the kill has copied records in the background

  Scenario: A copy of the record by a message of its own would not fit
    Then control of 1,000 records a second to two standbys is over 4,096 bytes a second

  Scenario Outline: Watches on the platform do not grow with entries per domain
    Given control of <entries> entries in each of four domains
    Then control holds <watches> watches in each domain

    Examples:
      | entries | watches |
      | 1       | 1       |
      | 3       | 2       |
      | 6       | 2       |
      | 12      | 2       |
