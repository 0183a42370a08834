Feature: A target stand-in bears little when cold and refuses the rest

  Scenario Outline: A target that <history> bears <limit> pieces of work at once
    Given a target with 2 slots, backlog 6 and 10 s to warm
    When the target <history>
    Then it bears <limit> pieces of work at once

    Examples:
      | history                         | limit |
      | has just started                | 1     |
      | has idled for 100 seconds       | 1     |
      | has worked for 5 seconds        | 4     |
      | has worked for 10 seconds       | 8     |
      | has worked for 10 seconds and turned cold | 1     |

  Scenario: Work over the limit is refused, counted, and never run
    Given a target with 2 slots, backlog 6 and 10 s to warm
    When the target has worked for 10 seconds
    And 12 pieces of work of 1 second come at once
    Then 8 are run, 2 at a time, and 4 refused and counted

  Scenario Outline: A load report lags by <lag> s and is multiplied by <factor>
    Given a load report with lag <lag> and factor <factor>
    When the load is 4 and <time> seconds pass
    Then the report tells a load of <told>

    Examples:
      | lag | factor | time | told |
      | 0   | 1      | 0.25 | 4    |
      | 2   | 1      | 1.5  | 0    |
      | 2   | 1      | 2.5  | 4    |
      | 0   | 0.5    | 0.25 | 2    |

  Scenario Outline: What is not a whole packet of a known protocol is counted
    Given a decapsulator that relays UDP only
    When it gets <data>
    Then it counts one <reason> and relays nothing

    Examples:
      | data              | reason           |
      | nothing           | malformed        |
      | half a packet     | malformed        |
      | a damaged packet  | malformed        |
      | a TCP segment     | no-such-protocol |

  Scenario: Arrivals are kept with their time and source, the latest only
    Given a decapsulator that relays UDP only
    When 20010 packets arrive, one a millisecond
    Then it keeps the latest 20000 arrivals with their times and sources

  Scenario: A flow keeps its local socket until it has been idle for long
    Given a UDP relay on a paused clock
    When two callers send, and one sends again after 100 seconds
    Then after 130 seconds only that caller's socket is open
    And an answer to it comes from the service's address

  Scenario: A cold target refuses over CoAP and over HTTP with a time to come back
    Given a small site with 2 entries
    When three callers ask each service for work at once
    Then one is answered and two are refused for 1 second on each service
