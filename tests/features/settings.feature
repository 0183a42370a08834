Feature: Settings are validated as a whole at start

  Guards against a program that starts with settings that are wrong, incomplete or
  unsafe, reports only the first problem or not its place, or shows a digest key.

  Scenario Outline: Each sample file is current and loads
    Then the sample settings "<stem>" match the declarations
    And the sample settings "<stem>" load without a problem

    Examples:
      | stem     |
      | entry    |
      | ctl      |
      | bench    |
      | platform |
      | fabric   |
      | target   |

  Scenario: The settings page is current
    Then the settings page matches the declarations

  Scenario: Omitted keys have their defaults
    Given entry settings with only the mandatory keys
    Then the settings load
    And the settings value "entry.packet_port" is "6080"
    And the settings value "timers.suspect_s" is "2.5"
    And the settings value "limits.max_flows" is "500000"
    And the settings value "fabric.allowed_sources" is "('127.13.0.2',)"

  Scenario Outline: A problem is reported with its place and the allowed values
    Given entry settings with only the mandatory keys
    And in section "<section>" the settings line "<line>"
    Then loading the settings gives "<result>"

    Examples: one key
      | section  | line                     | result                                                                         |
      | entry    | packet_port = 0          | [entry] packet_port: found '0'; allowed: a whole number from 1 to 65535 (UDP)  |
      | entry    | packet_port = 6080.0     | [entry] packet_port: found '6080.0'                                            |
      | entry    | admin_port =             | no problem                                                                     |
      | entry    | admin_port = 7200        | [entry] admin_port: found '7200'; allowed: not the same as control_port        |
      | timers   | heartbeat_s = nan        | [timers] heartbeat_s: found 'nan'                                              |
      | timers   | heartbeat_s = 1e999      | [timers] heartbeat_s: found '1e999'                                            |
      | timers   | heartbeat_s = 2 s        | [timers] heartbeat_s: found '2 s'; allowed: a number from 0.05 to 60 (seconds) |
      | timers   | suspect_s = 1            | [timers] suspect_s: found '1'; allowed: more than heartbeat_s, which is 1      |
      | timers   | forget_s = 2             | [timers] forget_s: found '2'; allowed: more than suspect_s, which is 2.5       |
      | limits   | max_flows = -1           | [limits] max_flows: found '-1'                                                 |
      | log      | level = loud             | [log] level: found 'loud'; allowed: one of debug, info, warning, error         |
      | platform | url = ftp://here         | [platform] url: found 'ftp://here'                                             |
      | platform | url = http://u:p@here    | [platform] url: found (hidden)                                                 |
      | platform | url = http://here:99999  | [platform] url: found 'http://here:99999'                                      |
      | platform | ca = /ca.pem             | [platform] ca: found '/ca.pem'; allowed: a CA only with an https URL           |
      | fabric   | sources = 127.0.0.1, ::1 | [fabric] sources: found '127.0.0.1, ::1'                                       |

    Examples: names
      | section | line              | result                              |
      | entry   | pakcet_port = 1   | (did you mean packet_port?)         |
      | entry   | Admin_Port = 1    | (did you mean admin_port?)          |
      | timer   | heartbeat_s = 1   | [timer]: found an unknown section   |
      | timer   | heartbeat_s = 1   | (did you mean [timers]?)            |
      | DEFAULT | heartbeat_s = 1   | [DEFAULT]: found an unknown section |
      | peers   | E2 = north-a 1    | [peers] E2: found 'north-a 1'       |
      | peers   | e2 = 127.13.0.9   | [peers] e2: found '127.13.0.9'      |
      | peers   | e1 = b 127.13.0.1 | [peers] e1: found 'b 127.13.0.1'    |
      | peers   | e2 = a 127.13.0.1 | no problem                          |

    Examples: keys and certificates
      | section | line                                        | result                                                     |
      | keys    | current = c0ffee                            | [keys] current: found (hidden); allowed: 16 to 64 bytes    |
      | keys    | current = not-hex                           | [keys] current: found (hidden)                             |
      | keys    | previous = 00112233445566778899aabbccddeeff | [keys] current: found nothing                              |
      | tls     | ca = /ca.pem                                | [tls] key: found nothing; allowed: ca, certificate and key |

    Examples: form
      | section | line  | result           |
      | log     | level | file: found line |
      | log     | [log  | file: found line |

  Scenario: All problems are reported at once
    Given entry settings with only the mandatory keys
    And in section "entry" the settings line "packet_port = high"
    And in section "keys" the settings line "curent = 00"
    And in section "timers" the settings line "suspect_s = 0.2"
    And in section "log" the settings line "level = info"
    And in section "log" the settings line "level = loud"
    Then the settings have 5 problems in "log, entry, keys, timers"

  Scenario: Two entries cannot share an address
    Given entry settings with only the mandatory keys
    And in section "peers" the settings line "e2 = a 127.13.0.9"
    And in section "peers" the settings line "e3 = b 127.13.0.9"
    Then loading the settings gives "[peers] e3: found 127.13.0.9, the address of e2 too"

  Scenario Outline: A public address requires a digest key and certificates
    Given entry settings for the address "<address>" with <credentials>
    Then loading the settings gives "<result>"

    Examples:
      | address    | credentials         | result                        |
      | 192.0.2.7  | nothing             | [keys] current: found nothing |
      | 192.0.2.7  | nothing             | [tls]: found no certificates  |
      | 192.0.2.7  | a key               | [tls]: found no certificates  |
      | 192.0.2.7  | certificates        | [keys] current: found nothing |
      | 192.0.2.7  | a key, certificates | no problem                    |
      | 127.13.0.1 | nothing             | no problem                    |

  Scenario Outline: A file that cannot be read is reported
    Given a settings file of <kind>
    When the settings file is checked
    Then the settings check exits with BAD_SETTINGS and prints "<output>"

    Examples:
      | kind           | output                      |
      | nothing at all | No such file                |
      | a directory    | Is a directory              |
      | bytes          | text in UTF-8               |
      | an empty text  | [entry] name: found nothing |

  Scenario: A valid file passes the check
    Given a settings file of a valid text
    When the settings file is checked
    Then the settings check exits with SUCCESS and prints "settings are valid"

  Scenario: A digest key never appears in printed settings
    Given entry settings for the address "127.13.0.1" with a key
    Then the settings load
    And no printed form of the settings shows the key

  Scenario: Any text gives settings or problems, never an exception
    Then random settings texts give settings or problems
