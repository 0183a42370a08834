Feature: An entry runs on the users' platform as its operators expect

  Background:
    Given a metadata store with 3 targets, a configuration and an evacuated domain

  Scenario: It is ready once it knows its site, forwards, and stops without a loss
    When an entry is started at 127.32.0.<1>
    Then it is ready within 5 s
    And an opening packet reaches a target with its key and a cookie
    And a packet for no route is answered with a reset
    When it is told to stop
    Then it is not ready within 0.5 s
    And an opening packet reaches a target with its key and a cookie
    And it ends by itself within 5 s with status 0
    And its lines tell started, ready, stopping, stopped

  Scenario: It is not ready while the store was never reached
    Given from the start the store answers 503
    When an entry is started at 127.32.0.<2>
    Then it is not ready within 1.0 s
    When the store is well again
    Then it is ready within 3 s
    And its lines tell store lost, store regained

  Scenario: Packets that come before it knows its site are not lost
    Given from the start the store answers 503
    When an entry is started at 127.32.0.<3>
    And an opening packet is sent
    And the store is well again
    Then that packet reaches a target within 3 s

  Scenario Outline: Settings that can not be used start nothing
    When with <change>, an entry is started at 127.32.0.<4>
    Then it ends with status 3 and tells "<problem>"

    Examples:
      | change                          | problem                         |
      | no store address                | [store] address: missing        |
      | store address = 10.1.0.36       | [store] address: found          |
      | a packet port of 0              | [entry] packet_address: found   |
      | drain_ms = often                | [bounds] drain_ms: found        |
      | an empty name                   | [entry] name: found             |
      | no file at all                  | No such file                    |

  Scenario Outline: Settings that change are taken up, a bad file is told and passed over
    When an entry is started at 127.32.0.<5>
    Then it is ready within 5 s
    When its settings change to <settings>, <told>
    Then its log soon holds <line> within 3 s
    And it is ready within 1 s

    Examples:
      | settings         | told             | line              |
      | another store    | and SIGHUP comes | settings reloaded |
      | another store    | without a signal | settings reloaded |
      | half of the file | and SIGHUP comes | settings rejected |
      | half of the file | without a signal | settings rejected |

  Scenario Outline: A port that is taken is told
    Given port <port> of 127.32.0.6 is taken over <protocol>
    When an entry is started at 127.32.0.<6>
    Then it ends with status 6 and tells "cannot open port"

    Examples:
      | port | protocol |
      | 7000 | UDP      |
      | 7001 | TCP      |

  Scenario: Without its metrics port it goes on
    Given port 7003 of 127.32.0.9 is taken over TCP
    When an entry is started at 127.32.0.<9>
    Then it is ready within 5 s
    And its log soon holds metrics port taken within 1 s

  Scenario: A reader of its log that does not read holds up no packet
    When an entry whose log nobody reads is started at 127.32.0.<7>
    Then it is ready within 5 s
    And 20000 packets for no route come, and the last is answered within 5 s

  Scenario: Entries of a domain find each other, and start from each other
    When 7 entries are started from 127.32.1.<1> on
    Then all of them are ready within 8 s
    And within 8 s no more than 2 entries a kind go on to call the store
    When the store begins to say 503
    And another entry is started at 127.32.1.<9>
    Then it is ready within 6 s

  Scenario: Metrics and a dump show what it does
    When an entry is started at 127.32.0.<8>
    Then it is ready within 5 s
    And an opening packet reaches a target with its key and a cookie
    When a datagram that is no packet comes
    Then its metrics and its dump tell of a drop, a flow and 3 targets
