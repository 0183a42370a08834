Feature: Packets and objects of the platform are decoded exactly or refused

  Guards against packets and store objects that are misread, and against malformed ones
  that raise an error or are accepted in part.

  Scenario: The platform's example packet is decoded field by field
    When the platform's example SYN is decoded
    Then it is a flow from 100.64.0.7:40001 to 198.18.0.1:443 with seq 0x11223344
    And its reset equals the platform's example

  Scenario: A packet to a target gets the target's key and a cookie, and is otherwise unchanged
    Then for any packet, the datagram to a target differs in its cookie alone

  Scenario: No datagram raises an error
    Then any bytes are decoded to a packet or to none, without an error

  Scenario Outline: A malformed target object is unreadable
    When a target object has <change>
    Then the target object is <result>

    Examples:
      | change                    | result     |
      | nothing unusual           | readable   |
      | an unknown field          | readable   |
      | no born                   | readable   |
      | state "draining"          | readable   |
      | no address                | unreadable |
      | address "10.1.64.39"      | unreadable |
      | address "host:80"         | unreadable |
      | address 7                 | unreadable |
      | state "resting"           | unreadable |
      | no state                  | unreadable |
      | no service                | unreadable |
      | service 9                 | unreadable |
      | maxConcurrency "2"        | unreadable |
      | maxConcurrency true       | unreadable |
      | maxConcurrency 0          | unreadable |
      | warmupLeftMs -5           | unreadable |
      | zone null                 | unreadable |
      | a name without a number   | unreadable |
      | a name of 40 digits       | unreadable |
      | a list in place of fields | unreadable |
      | nothing at all            | unreadable |

  Scenario Outline: A configuration is accepted as a whole or not at all
    When a configuration has <change>
    Then the configuration is <result>

    Examples:
      | change                         | result     |
      | nothing unusual                | readable   |
      | a route split by weight        | readable   |
      | no services                    | readable   |
      | a route without a service      | unreadable |
      | a route with a path for a port | unreadable |
      | no limits                      | unreadable |
      | no version                     | unreadable |
      | a list in place of fields      | unreadable |

  Scenario: No store answer raises an unexpected error
    Then any JSON is read as a page, changes or objects, or is refused as unreadable
