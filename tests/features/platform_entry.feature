@real-time @long
Feature: An entry process works with the users' platform

  Guards against an entry that says it is ready too early or stays unready, loses packets
  at start or stop, or fails because of its surroundings: a store that is away, unusable
  or changed settings, ports in use, a log that nobody reads.

  Background:
    Given a metadata store with 3 targets, a configuration and an evacuated domain

  Scenario: It is ready once it knows its site, forwards, and stops without losing packets
    When an entry is started at 127.32.0.<1>
    Then it is ready within 5 s
    And a SYN reaches a target with the target's key and a cookie
    And a packet without a route is answered with a reset
    When the entry gets SIGTERM
    Then it is not ready within 0.5 s
    And a SYN reaches a target with the target's key and a cookie
    And it exits within 5 s with status 0
    And its log has the events started, ready, stopping, stopped

  Scenario: It is not ready before it has reached the store
    Given from the start the store answers 503
    When an entry is started at 127.32.0.<2>
    Then it is not ready within 1.0 s
    When the store works again
    Then it is ready within 3 s
    And its log has the events store lost, store regained

  Scenario: Packets that arrive before it knows its site are not lost
    Given from the start the store answers 503
    When an entry is started at 127.32.0.<3>
    And a SYN is sent early
    And the store works again
    Then the early SYN reaches a target within 3 s

  Scenario Outline: Unusable settings prevent the start
    When with <change>, an entry is started at 127.32.0.<4>
    Then it exits with status 3 and reports "<problem>"

    Examples:
      | change                    | problem                       |
      | no store address          | [store] address: missing      |
      | store address = 10.1.0.36 | [store] address: found        |
      | a packet port of 0        | [entry] packet_address: found |
      | drain_ms = often          | [bounds] drain_ms: found      |
      | an empty name             | [entry] name: found           |
      | no file at all            | No such file                  |

  Scenario Outline: Changed settings are applied, an unreadable file is reported and ignored
    When an entry is started at 127.32.0.<5>
    Then it is ready within 5 s
    When its settings change to <settings>, <signal>
    Then its log gets the event <event> within 3 s
    And it is ready within 1 s

    Examples:
      | settings         | signal             | event             |
      | another store    | and SIGHUP is sent | settings reloaded |
      | another store    | without a signal   | settings reloaded |
      | half of the file | and SIGHUP is sent | settings rejected |
      | half of the file | without a signal   | settings rejected |

  Scenario Outline: A port in use is reported
    Given port <port> of 127.32.0.6 is taken over <protocol>
    When an entry is started at 127.32.0.<6>
    Then it exits with status 6 and reports "cannot open port"

    Examples:
      | port | protocol |
      | 7000 | UDP      |
      | 7001 | TCP      |

  Scenario: It runs without its metrics port
    Given port 7003 of 127.32.0.9 is taken over TCP
    When an entry is started at 127.32.0.<9>
    Then it is ready within 5 s
    And its log gets the event metrics port taken within 1 s

  Scenario: A log pipe that nobody reads does not delay packets
    When an entry with an unread log pipe is started at 127.32.0.<7>
    Then it is ready within 5 s
    And 20000 packets without a route arrive, and the last is answered within 5 s

  Scenario: Entries of a domain discover each other and load their state from each other
    When 7 entries are started from 127.32.1.<1> on
    Then all of them are ready within 8 s
    And within 8 s at most 2 entries per kind of call still read the store
    When the store starts to answer 503
    And another entry is started at 127.32.1.<9>
    Then it is ready within 6 s

  Scenario: Its metrics and dump show its work
    When an entry is started at 127.32.0.<8>
    Then it is ready within 5 s
    And a SYN reaches a target with the target's key and a cookie
    When a malformed datagram arrives
    Then its metrics and its dump show a drop, a flow and 3 targets
