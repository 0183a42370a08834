Feature: The platform's wire is read once, and nothing of it is taken on trust

  Scenario: The packet that the platform shows is read field by field
    When the opening packet of the platform's example is read
    Then it is a flow from 100.64.0.7:40001 to 198.18.0.1:443 with seq 0x11223344
    And its reset is the one of the example

  Scenario: A packet to a target carries its key and a cookie, and nothing else changes
    Then for any packet, the datagram to a target differs in its cookie alone

  Scenario: No datagram is more than dropped
    Then any bytes are read as a packet or as none, without an error

  Scenario Outline: A target's entry that can not be read names no target
    When a target says of itself <change>
    Then its entry is <result>

    Examples:
      | change                                  | result     |
      | nothing unusual                         | readable   |
      | an unknown field                        | readable   |
      | no born                                 | readable   |
      | state "draining"                        | readable   |
      | no address                              | unreadable |
      | address "10.1.64.39"                    | unreadable |
      | address "host:80"                       | unreadable |
      | address 7                               | unreadable |
      | state "resting"                         | unreadable |
      | no state                                | unreadable |
      | no service                              | unreadable |
      | service 9                               | unreadable |
      | maxConcurrency "2"                      | unreadable |
      | maxConcurrency true                     | unreadable |
      | maxConcurrency 0                        | unreadable |
      | warmupLeftMs -5                         | unreadable |
      | zone null                               | unreadable |
      | a name without a number                 | unreadable |
      | a name of 40 digits                     | unreadable |
      | a list in place of fields               | unreadable |
      | nothing at all                          | unreadable |

  Scenario Outline: A configuration is taken as a whole or not at all
    When a configuration has <change>
    Then the configuration is <result>

    Examples:
      | change                          | result     |
      | nothing unusual                 | readable   |
      | a route split by weight         | readable   |
      | no services                     | readable   |
      | a route without a service       | unreadable |
      | a route with a path for a port  | unreadable |
      | no limits                       | unreadable |
      | no version                      | unreadable |
      | a list in place of fields       | unreadable |

  Scenario: No answer of the store is more than refused
    Then any JSON is read as a page and as changes, or is refused as unreadable
