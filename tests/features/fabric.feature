Feature: The fabric stand-in hands any packet to any ready entry

  Scenario: Packets carry what callers send, and no damage goes unseen
    Then any datagram and any segment survive packing, and one wrong bit is seen

  Scenario Outline: An entry that answers <answers> is <state>
    Given a fabric that asks one entry
    When the entry's answers are <answers>
    Then the fabric finds the entry <state>

    Examples:
      | answers             | state     |
      | nothing yet         | not ready |
      | 200                 | ready     |
      | 200 miss            | ready     |
      | 200 miss miss       | not ready |
      | 200 miss 200 miss   | ready     |
      | 200 503             | not ready |
      | 503 200             | ready     |
      | 200 miss miss 200   | ready     |
      | 200 hang hang       | ready     |

  Scenario: Packets are spread over the ready entries alone
    Given a spray over 4 entries of which 3 are ready
    When 3000 packets pass the spray
    Then each ready entry got 900 to 1100 packets and the other got none
    And the same seed spreads the packets in the same way

  Scenario Outline: The spray with <fault> at 1 sends <copies> copies <when>
    Given a spray whose <fault> is certain
    When one packet passes the spray
    Then <copies> copies are sent <when>

    Examples:
      | fault     | copies | when   |
      | loss      | 0      | at all |
      | duplicate | 2      | at once |
      | reorder   | 1      | later  |

  Scenario: No entry is ready
    Given a spray over 2 entries of which 0 are ready
    When one packet passes the spray
    Then 0 copies are sent at all
    And the spray counts 1 packet without a ready entry

  Scenario Outline: A packet from an entry that is <packet> is counted as <reason>
    Given a small site with 2 entries
    When an entry sends the fabric a packet that is <packet>
    Then the fabric counts it as <reason>

    Examples:
      | packet           | reason               |
      | malformed        | malformed            |
      | empty            | malformed            |
      | not of a service | unknown-service      |
      | a stray segment  | segments-of-no-stream |

  Scenario: Requests reach a real server and each gets its own answer
    Given a small site with 3 entries whose fabric doubles and reorders packets
    When 30 callers send one request each at once
    Then each caller got the answer to its own request
    And no request was run twice

  Scenario: A long answer comes block by block
    Given a small site with 3 entries
    When a caller asks for 20000 bytes
    Then the caller got all 20000 bytes of its own

  Scenario: A watch is notified while entries come and go
    Given a small site with 2 entries
    When a caller watches, and an entry dies and comes back meanwhile
    Then the watch is still notified by the same target

  Scenario: An ordinary HTTP client reaches an ordinary HTTP server
    Given a small site with 3 entries whose fabric loses, doubles and reorders packets
    When an HTTP caller asks for 200000 bytes and posts once
    Then the HTTP caller got all of it and its post ran once

  Scenario: An HTTP connection outlives an entry
    Given a small site with 2 entries
    When an HTTP caller asks on one connection, and an entry dies in between
    Then both answers came from the same target over the same connection
