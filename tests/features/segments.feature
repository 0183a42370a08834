Feature: TCP segments carry a connection's bytes complete and in order

  Guards against bytes that are lost, repeated or reordered, and against connections that
  never close or are closed by a forged reset, when segments are lost, duplicated,
  reordered or held back by a slow reader.

  Scenario: Any bytes arrive complete over any faulty link
    Then any bytes arrive complete both ways over any link that is not cut

  Scenario Outline: A large transfer arrives complete over a link with <fault>
    Given a segment link with loss <loss>, duplicates <duplicate> and spread <spread>
    When the caller sends <up> bytes and the service sends <down> bytes
    Then both ends of the segment link got all bytes and are closed

    Examples:
      | fault      | loss | duplicate | spread | up     | down   |
      | no fault   | 0    | 0         | 0      | 200000 | 200000 |
      | loss       | 0.1  | 0         | 0      | 60000  | 60000  |
      | duplicates | 0    | 0.5       | 0      | 100000 | 100000 |
      | reordering | 0    | 0         | 0.02   | 100000 | 100000 |
      | all faults | 0.1  | 0.2       | 0.02   | 50000  | 1      |

  Scenario: A slow reader closes the window and still gets all bytes
    Given a segment link with a slow reader
    When the caller sends 400000 bytes and the service sends 10 bytes
    Then both ends of the segment link got all bytes and are closed
    And the unread bytes never exceeded the window

  Scenario: A connection survives an interruption of the link
    Given a segment link with loss 0, duplicates 0 and spread 0
    When the caller sends 1000000 bytes and the link is cut 3 seconds meanwhile
    Then both ends of the segment link got all bytes and are closed

  Scenario: A segment lost on an idle connection is retransmitted
    Given an open segment link that was idle for 100 seconds
    When the next segment is lost
    Then it arrives by retransmission and the connection stays open

  Scenario: A reset closes the connection at once
    Given an open segment link that was idle for 1 seconds
    When the service aborts its stream
    Then the caller's stream was closed by a reset and is removed

  Scenario Outline: A reset with <number> leaves the stream <verdict>
    Given an open segment link that was idle for 1 seconds
    When a reset arrives with a sequence number <offset> from the expected one
    Then the caller's stream is <verdict>

    Examples:
      | number              | offset  | verdict |
      | the expected number | 0       | closed  |
      | an old number       | -5      | kept    |
      | a distant number    | 1000000 | kept    |

  Scenario: A service without the stream answers with a reset
    Given an open segment link that was idle for 1 seconds
    When the service drops its stream and the caller writes
    Then the caller's stream was closed by a reset and is removed

  Scenario: A connection to an unreachable service times out
    Given a segment link that is cut
    When the caller connects and 40 seconds pass
    Then the caller's stream was closed without an answer
