Feature: Objects are validated strictly, and all mistakes are reported together

  Guards against invalid objects from operators or the platform that are accepted,
  or that raise an exception instead of a message that names the field, the value
  found and the allowed values; and against changes that leave references to objects
  that don't exist, or two objects at one address.

  Scenario Outline: An invalid field is reported with the allowed values: <kind> <field> = <value>
    When a <kind> is read whose <field> is <value>
    Then the mistake names <field>, shows <shown> and says "<allowed>"

    Examples: Numbers
      | kind    | field             | value    | shown   | allowed                       |
      | profile | idle_timeout_s    | 0        | 0       | from 0.1 to 604800 seconds    |
      | profile | idle_timeout_s    | -5       | -5      | from 0.1 to 604800 seconds    |
      | profile | idle_timeout_s    | NaN      | nan     | from 0.1 to 604800 seconds    |
      | profile | idle_timeout_s    | Infinity | inf     | from 0.1 to 604800 seconds    |
      | profile | idle_timeout_s    | 1e400    | inf     | from 0.1 to 604800 seconds    |
      | profile | idle_timeout_s    | true     | True    | from 0.1 to 604800 seconds    |
      | profile | idle_timeout_s    | null     | None    | from 0.1 to 604800 seconds    |
      | profile | idle_timeout_s    | "10"     | '10'    | from 0.1 to 604800 seconds    |
      | profile | request_timeout_s | 700      | 700     | at most idle_timeout_s, 600   |
      | profile | silence_timeout_s | 700      | 700     | at most idle_timeout_s, 600   |
      | profile | retry_share       | 1.5      | 1.5     | from 0 to 1                   |
      | profile | reserved_share    | -0.1     | -0.1    | from 0 to 1                   |
      | service | port              | 0        | 0       | whole number from 1 to 65535  |
      | service | port              | 65536    | 65536   | whole number from 1 to 65535  |
      | service | port              | 80.5     | 80.5    | whole number from 1 to 65535  |
      | service | port              | "80"     | '80'    | whole number from 1 to 65535  |
      | target  | slots             | 0        | 0       | whole number from 1 to        |
      | target  | connections       | -1       | -1      | whole number from 1 to        |

    Examples: Words, names and addresses
      | kind    | field         | value           | shown           | allowed                          |
      | profile | mode          | "strem"         | 'strem'         | allowed: stream, request         |
      | profile | mode          | ["stream"]      | ['stream']      | allowed: stream, request         |
      | profile | priority      | 1               | 1               | allowed: urgent, normal, bulk    |
      | profile | idle_timout_s | 5               | 5               | did you mean 'idle_timeout_s'?   |
      | profile | colour        | 5               | 5               | no such field; known: idle       |
      | service | address       | "10.0.0"        | '10.0.0'        | an IPv4 address                  |
      | service | address       | "10.0.0.256"    | '10.0.0.256'    | an IPv4 address                  |
      | service | address       | "::1"           | '::1'           | an IPv4 address                  |
      | service | address       | "0.0.0.0"       | '0.0.0.0'       | an IPv4 address                  |
      | service | address       | "224.0.0.1"     | '224.0.0.1'     | an IPv4 address                  |
      | service | address       | 3232235777      | 3232235777      | an IPv4 address                  |
      | service | protocol      | "sctp"          | 'sctp'          | allowed: udp, tcp                |
      | service | profile       | ""              | ''              | 1 to 63 letters                  |
      | target  | service       | "a/b"           | 'a/b'           | 1 to 63 letters                  |
      | target  | state         | "gone"          | 'gone'          | allowed: admitted, retired       |
      | target  | name          | "other"         | 'other'         | the name of the object           |
      | domain  | state         | "IN"            | 'IN'            | allowed: in, out                 |

  Scenario: All mistakes of an object are reported together, including missing fields
    When a service is read from {"port": 0, "protocoll": "udp", "address": "x"}
    Then the mistakes name port, protocoll, address, protocol, profile and no others

  Scenario Outline: An invalid object from the platform is refused: <field> = <value>
    When an object is read whose <field> is <value> instead
    Then the mistake names <field> and says "<allowed>"

    Examples:
      | field     | value   | allowed                       |
      | kind      | "vm"    | profile, service, target      |
      | kind      | null    | profile, service, target      |
      | name      | ""      | 1 to 63 letters               |
      | version   | -1      | whole number from 0           |
      | version   | 1.5     | whole number from 0           |
      | version   | "1"     | whole number from 0           |
      | created   | null    | whole number from 0           |
      | operation | 5       | text of at most 200           |
      | deleted   | "no"    | true, false                   |
      | body      | null    | an object with the fields     |

  Scenario Outline: Objects must be consistent: <case>
    Given the objects of the demo's file exist
    When the change to check is <case>
    Then the check says "<message>"

    Examples:
      | case                             | message                                                  |
      | service "new" with profile "web" | fits                                                     |
      | service "new" with profile "wep" | there is no profile of that name; did you mean 'web'?    |
      | target "new" of service "till"   | there is no service of that name; did you mean 'tills'?  |
      | target "new" in domain "north-e" | there is no domain of that name; did you mean 'north-    |
      | service "new" at tills' address  | already used by service/new                              |
      | target "new" at t1's place       | already used by target/new                               |
      | removal of profile "web"         | profile/web cannot be removed: referenced by service/web |
      | removal of domain "north-d"      | referenced by target/r4, target/t4                       |
      | removal of target "t1"           | fits                                                     |

  Scenario: An existing mistake does not prevent unrelated changes
    Given objects exist of which target "stray" names no known service
    When profile "new" is checked together with the existing objects
    Then the check says "fits"

  Scenario: Any valid object survives a round trip through JSON and INI
    Then 300 generated objects of every kind are unchanged after a round trip through JSON and INI

  Scenario: No JSON value raises an exception
    Then 500 generated JSON values are read or refused, never with an exception

  Scenario Outline: The project's example files hold valid objects: <file>
    Then the file "<file>" is read without a mistake and holds <objects>

    Examples:
      | file                             | objects                                        |
      | extras/demo/objects.ini          | 3 profiles, 3 services, 4 domains, 13 targets  |
      | extras/profiles/long-session.ini | 1 profiles, 0 services, 0 domains, 0 targets   |
      | extras/profiles/urgent-alert.ini | 1 profiles, 0 services, 0 domains, 0 targets   |
      | extras/profiles/bulk-download.ini | 1 profiles, 0 services, 0 domains, 0 targets  |
      | extras/profiles/marlow-finch.ini | 3 profiles, 0 services, 0 domains, 0 targets   |
      | extras/profiles/zachte-rust.ini  | 3 profiles, 0 services, 0 domains, 0 targets   |
