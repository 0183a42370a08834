Feature: Logs are short lines with a fixed prefix, bounded and without secrets

  Scenario Outline: A line has its form
    Given logs in the form "<form>" at level "<level>"
    When part "membership" logs a warning "e3 is suspected."
    Then the log holds <count> lines
    And the last log line has "<told>"

    Examples:
      | form  | level   | count | told                                                           |
      | human | info    | 1     | WARNING membership: e3 is suspected.                           |
      | json  | info    | 1     | "part": "membership", "message": "e3 is suspected."            |
      | human | warning | 1     | Z WARNING                                                      |
      | human | error   | 0     |                                                                |

  Scenario Outline: Text from outside keeps to its line
    Given logs in the form "<form>" at level "info"
    When part "packets" logs a warning with <text> from a packet
    Then the log holds 1 lines

    Examples:
      | form  | text          |
      | human | a line end    |
      | json  | a line end    |
      | human | an escape     |
      | human | a brace       |
      | human | a colour mark |

  Scenario Outline: A secret never reaches the log
    Given logs in the form "<form>" at level "debug" with a digest key
    When part "config" logs the digest key as <shape>
    Then the log shows no digest key

    Examples:
      | form  | shape                  |
      | human | settings               |
      | human | hexadecimal digits     |
      | json  | hexadecimal digits     |
      | human | raw bytes              |
      | json  | raw bytes              |
      | human | an error's text        |
      | json  | an error's text        |
      | human | a variable in an error |

  Scenario Outline: Failures inside libraries are logged
    Given logs in the form "human" at level "info"
    When <library> reports a failure
    Then a log line has "ERROR   library: "
    And the log tells of the failure

    Examples:
      | library                  |
      | the standard logging     |
      | a Deferred with no owner |

  Scenario: A part that does not exist is refused
    Then there is no logger for the part "gossip-column"

  Scenario: What a packet can cause is limited and counted
    Given logs in the form "human" at level "info"
    And a limit of one line in 10 s
    When 512 limited lines of "malformed" come within 4 s
    Then the log holds 1 lines
    When the log's clock goes on by 6 s
    Then the log holds 2 lines
    And the last log line has "A packet is dropped: malformed. (510 more like it in 10 s.)"
    When the log's clock goes on by 100 s
    Then the log holds 2 lines
    When 1 limited lines of "malformed" come within 1 s
    Then the log holds 3 lines

  Scenario: A steady flood gives one line a limit
    Given logs in the form "human" at level "info"
    And a limit of one line in 10 s
    When 10000 limited lines of "stranger" come within 100 s
    Then the log holds at most 11 lines

  Scenario: Each kind of line has its own limit, and their number is bounded
    Given logs in the form "human" at level "info"
    And a limit of one line in 10 s
    When limited lines of 3000 kinds come
    Then the log holds 1001 lines
    When the log's clock goes on by 10 s
    Then the last log line has "A packet is dropped: 2999. (1998 more like it in 10 s.)"
