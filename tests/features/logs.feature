Feature: Logs are single lines in a fixed format, rate-limited and without secrets

  Guards against text from packets that forges or breaks log lines, digest keys in the log,
  failures that no line reports, and packet floods that fill the log.

  Scenario Outline: A line has the configured format
    Given logs in the format "<format>" at level "<level>"
    When part "membership" logs a warning "e3 is suspected."
    Then the log holds <count> lines
    And the last log line has "<text>"

    Examples:
      | format | level   | count | text                                                |
      | human  | info    | 1     | WARNING membership: e3 is suspected.                |
      | json   | info    | 1     | "part": "membership", "message": "e3 is suspected." |
      | human  | warning | 1     | Z WARNING                                           |
      | human  | error   | 0     |                                                     |

  Scenario Outline: Text from a packet cannot break out of its line
    Given logs in the format "<format>" at level "info"
    When part "packets" logs a warning with <text> from a packet
    Then the log holds 1 lines

    Examples:
      | format | text             |
      | human  | line breaks      |
      | json   | line breaks      |
      | human  | escape sequences |
      | human  | braces           |
      | human  | colour markup    |

  Scenario Outline: A digest key never appears in the log
    Given logs in the format "<format>" at level "debug" with a digest key
    When part "config" logs the digest key as <shape>
    Then the log shows no digest key

    Examples:
      | format | shape                  |
      | human  | settings               |
      | human  | hexadecimal digits     |
      | json   | hexadecimal digits     |
      | human  | raw bytes              |
      | json   | raw bytes              |
      | human  | an error's text        |
      | json   | an error's text        |
      | human  | a variable in an error |

  Scenario Outline: Failures reported by libraries are logged
    Given logs in the format "human" at level "info"
    When <library> reports a failure
    Then a log line has "ERROR   library: "
    And the log has the failure's text

    Examples:
      | library               |
      | the standard logging  |
      | an abandoned Deferred |

  Scenario: A logger for an unknown part is refused
    Then there is no logger for the part "gossip-column"

  Scenario: Lines that packets cause are rate-limited and counted
    Given logs in the format "human" at level "info"
    And a limit of one line per 10 s
    When 512 limited lines of "malformed" are logged within 4 s
    Then the log holds 1 lines
    When the log's clock advances by 6 s
    Then the log holds 2 lines
    And the last log line has "A packet is dropped: malformed. (510 more like it in 10 s.)"
    When the log's clock advances by 100 s
    Then the log holds 2 lines
    When 1 limited lines of "malformed" are logged within 1 s
    Then the log holds 3 lines

  Scenario: A steady flood gives one line per interval
    Given logs in the format "human" at level "info"
    And a limit of one line per 10 s
    When 10000 limited lines of "stranger" are logged within 100 s
    Then the log holds at most 11 lines

  Scenario: Each kind of line has its own limit, and the number of kinds is bounded
    Given logs in the format "human" at level "info"
    And a limit of one line per 10 s
    When limited lines of 3000 kinds are logged
    Then the log holds 1001 lines
    When the log's clock advances by 10 s
    Then the last log line has "A packet is dropped: 2999. (1998 more like it in 10 s.)"
