Feature: CoAP messages are read and built according to RFC 7252

  Guards against requests that run twice because their method is taken for
  idempotent, against malformed bytes that raise an exception, and against refusals
  that callers can't use or that make them all retry at the same time.

  Scenario Outline: Only idempotent methods may run twice
    Then the method <method> <may> run twice

    Examples:
      | method | may     |
      | GET    | may     |
      | FETCH  | may     |
      | PUT    | may     |
      | DELETE | may     |
      | iPATCH | may     |
      | POST   | may not |
      | PATCH  | may not |
      | 0.31   | may not |

  Scenario: The header parser agrees with the library's decoder
    Then header and options of 300 random messages are read as the library reads them

  Scenario: No bytes raise an error
    Then 300 random payloads are read or reported as bad input

  Scenario Outline: A malformed message is bad input
    Then the message "<bytes>" is bad input because "<reason>"

    Examples:
      | bytes                  | reason   |
      |                        | shorter  |
      | 400100                 | shorter  |
      | 80010001               | version  |
      | 49010001010203040506070809 | token |
      | 4201000101             | token    |
      | 40000001ff             | empty    |

  Scenario Outline: A refusal gives the reason and when to retry
    Then a <type> request is refused as <kind> by a <answer> with code <code> that says "<text>"

    Examples:
      | type | kind            | answer | code | text               |
      | CON  | not-run         | ACK    | 5.03 | not run; come back |
      | NON  | not-run         | NON    | 5.03 | not run; come back |
      | CON  | overloaded      | ACK    | 4.29 | busy; come back    |
      | NON  | overloaded      | NON    | 4.29 | busy; come back    |
      | CON  | unavailable     | ACK    | 5.03 | no target          |
      | CON  | timeout         | ACK    | 5.04 | no answer in time  |
      | CON  | outcome-unknown | ACK    | 5.04 | outcome unknown    |
      | NON  | outcome-unknown | NON    | 5.04 | outcome unknown    |

  Scenario: A request that was acknowledged is refused by a separate message
    Then an acknowledged CON request is refused by a NON

  Scenario: Refused callers do not all retry at the same time
    Then 1000 refusals at a backlog of 10 s are spread over at least 8 s
    And none of them asks for a wait of less than 10 s

  Scenario: A rewritten packet has correct lengths and checksums
    Then 100 random payloads in packets have correct lengths and checksums
