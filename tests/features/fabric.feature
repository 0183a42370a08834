@real-time
Feature: The simulated fabric sends any packet to any ready entry

  Guards against a simulation that is easier on entries than the real fabric: damaged
  packets that pass unnoticed, packets to entries that are not ready, an uneven
  spread, and faults (loss, duplicates, reordering) that don't happen. Real CoAP and
  HTTP clients and servers must work through it while entries fail.

  Scenario: Packets survive packing, and damage is detected
    Then any datagram and any segment survive packing, and one flipped bit is detected

  Scenario Outline: An entry that answers <answers> is <state>
    Given a fabric that checks the readiness of one entry
    When the entry's answers are <answers>
    Then the fabric takes the entry to be <state>

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

  Scenario: Packets are spread over the ready entries only
    Given a packet sprayer over 4 entries of which 3 are ready
    When 3000 packets pass the sprayer
    Then each ready entry received 900 to 1100 packets and the other received none
    And the same seed spreads the packets in the same way

  Scenario Outline: The sprayer with <fault> at probability 1 sends <copies> copies <when>
    Given a packet sprayer whose <fault> is certain
    When one packet passes the sprayer
    Then <copies> copies are sent <when>

    Examples:
      | fault     | copies | when   |
      | loss      | 0      | at all |
      | duplicate | 2      | at once |
      | reorder   | 1      | later  |

  Scenario: No entry is ready
    Given a packet sprayer over 2 entries of which 0 are ready
    When one packet passes the sprayer
    Then 0 copies are sent at all
    And the sprayer counts 1 packet without a ready entry

  Scenario Outline: A packet from an entry that is <packet> is counted as <reason>
    Given a small site with 2 entries
    When an entry sends the fabric a packet that is <packet>
    Then the fabric counts it as <reason>

    Examples:
      | packet                 | reason                |
      | malformed              | malformed             |
      | empty                  | malformed             |
      | not of a service       | unknown-service       |
      | a segment of no stream | segments-of-no-stream |

  Scenario: Requests reach a real server, and each gets its own answer
    Given a small site with 3 entries whose fabric duplicates and reorders packets
    When 30 callers send one request each at once
    Then each caller received the answer to its own request
    And no request was run twice

  Scenario: A long answer arrives block by block
    Given a small site with 3 entries
    When a caller asks for 20000 bytes
    Then the caller received all 20000 bytes of its own answer

  Scenario: A watch keeps its notifications while entries fail and restart
    Given a small site with 2 entries
    When an entry is killed and restarted while a caller watches a resource
    Then the watch is still notified by the same target

  Scenario: A standard HTTP client reaches a standard HTTP server
    Given a small site with 3 entries whose fabric loses, duplicates and reorders packets
    When an HTTP caller asks for 200000 bytes and posts once
    Then the HTTP caller received the whole answer and its post ran once

  Scenario: An HTTP connection survives the failure of an entry
    Given a small site with 2 entries
    When an HTTP caller asks on one connection, and an entry is killed in between
    Then both answers come from the same target over the same connection
