Feature: TCP segments carry a connection's bytes whole

  Scenario: Any bytes arrive whole, whatever the link does to segments
    Then segments carry any bytes both ways through any link that lets some through

  Scenario Outline: Many bytes arrive whole through a link with <fault>
    Given a segment link with loss <loss>, duplicates <duplicate> and spread <spread>
    When the caller sends <up> bytes and the service sends <down> bytes
    Then both ends of the segment link have all bytes and are closed

    Examples:
      | fault      | loss | duplicate | spread | up     | down   |
      | no fault   | 0    | 0         | 0      | 200000 | 200000 |
      | loss       | 0.1  | 0         | 0      | 60000  | 60000  |
      | duplicates | 0    | 0.5       | 0      | 100000 | 100000 |
      | reordering | 0    | 0         | 0.02   | 100000 | 100000 |
      | all faults | 0.1  | 0.2       | 0.02   | 50000  | 1      |

  Scenario: A slow reader shuts the window and gets all bytes later
    Given a segment link with a slow reader
    When the caller sends 400000 bytes and the service sends 10 bytes
    Then both ends of the segment link have all bytes and are closed
    And no more than the window was held back at any time

  Scenario: A pause of the whole link is bridged
    Given a segment link with loss 0, duplicates 0 and spread 0
    When the caller sends 1000000 bytes and the link is cut 3 seconds meanwhile
    Then both ends of the segment link have all bytes and are closed

  Scenario: An idle connection still waits for a lost segment
    Given an open segment link that was idle for 100 seconds
    When the next segment is lost
    Then it arrives in the second try and the connection stays

  Scenario: A reset ends the connection at once
    Given an open segment link that was idle for 1 seconds
    When the service aborts its stream
    Then the caller's stream was lost to a reset and is forgotten

  Scenario Outline: A reset with <number> is <verdict>
    Given an open segment link that was idle for 1 seconds
    When a reset comes whose sequence number is <offset> from what is awaited
    Then the caller's stream is <verdict>

    Examples:
      | number           | offset  | verdict |
      | the next number  | 0       | lost    |
      | an old number    | -5      | kept    |
      | a far number     | 1000000 | kept    |

  Scenario: The service that is gone answers with a reset
    Given an open segment link that was idle for 1 seconds
    When the service forgets its stream and the caller writes
    Then the caller's stream was lost to a reset and is forgotten

  Scenario: A service that cannot be reached is given up
    Given a segment link that is cut
    When the caller opens it and 40 seconds pass
    Then the caller's stream was lost without an answer
