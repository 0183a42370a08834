@real-time
Feature: A target stand-in accepts little load when cold and refuses the rest

  Guards against tests and benches that pass only because the stand-in is kinder than a
  real target: it must warm up, refuse and count excess load, report its load late or
  scaled, drop packets that are malformed, and close idle sockets.

  Scenario Outline: A target that <history> accepts <limit> jobs at once
    Given a target with 2 slots, a backlog of 6 and 10 s of warm-up
    When the target <history>
    Then the target accepts <limit> jobs at once

    Examples:
      | history                                 | limit |
      | has just started                        | 1     |
      | has idled for 100 seconds               | 1     |
      | has worked for 5 seconds                | 4     |
      | has worked for 10 seconds               | 8     |
      | has worked for 10 seconds and gone cold | 1     |

  Scenario: Jobs over the limit are refused and counted, and never run
    Given a target with 2 slots, a backlog of 6 and 10 s of warm-up
    When the target has worked for 10 seconds
    And 12 jobs of 1 second arrive at once
    Then 8 jobs run, 2 at a time, and 4 are refused and counted

  Scenario Outline: A load report lags by <lag> s and is multiplied by <factor>
    Given a load report with lag <lag> and factor <factor>
    When the load is 4 and <time> seconds pass
    Then the report gives a load of <reported>

    Examples:
      | lag | factor | time | reported |
      | 0   | 1      | 0.25 | 4        |
      | 2   | 1      | 1.5  | 0        |
      | 2   | 1      | 2.5  | 4        |
      | 0   | 0.5    | 0.25 | 2        |

  Scenario Outline: Truncated, damaged and unsupported packets are counted
    Given a decapsulator that relays UDP only
    When the decapsulator receives <data>
    Then the decapsulator counts one <reason> and relays nothing

    Examples:
      | data             | reason           |
      | nothing          | malformed        |
      | half a packet    | malformed        |
      | a damaged packet | malformed        |
      | a TCP segment    | no-such-protocol |

  Scenario: Only the latest arrivals are kept, with their times and sources
    Given a decapsulator that relays UDP only
    When 20010 packets arrive, one a millisecond
    Then the decapsulator keeps the latest 20000 arrivals with their times and sources

  Scenario: A flow keeps its local socket until its idle timeout
    Given a UDP relay on a paused clock
    When two callers send, and one sends again after 100 seconds
    Then after 130 seconds only that caller's socket is open
    And an answer on it is sent from the service's address

  Scenario: A cold target refuses over CoAP and HTTP with a time to retry after
    Given a small site with 2 entries
    When three callers request work from each service at once
    Then one is answered and two are refused for 1 second on each service
