Feature: Fixed offsets read what a full parser reads

  Scenario Outline: Keys agree with dpkt: <packets>
    Then <number> <packets> are keyed as dpkt keys them, or dropped as it says

    Examples:
      | number | packets                 |
      | 1000   | UDP and TCP packets     |
      | 2000   | packets with bytes changed |
      | 1000   | packets cut or padded   |
      | 1000   | random bytes            |

  Scenario Outline: What can not be carried is dropped for the right reason: <case>
    Then a packet with <case> is dropped as <reason>

    Examples:
      | case                      | reason    |
      | no bytes                  | malformed |
      | a header cut short        | malformed |
      | version 6                 | malformed |
      | IP options                | malformed |
      | a total length too short  | malformed |
      | a total length too long   | malformed |
      | protocol ICMP             | malformed |
      | a TCP header cut short    | malformed |
      | more fragments to come    | fragment  |
      | a fragment offset of 1    | fragment  |
      | a fragment offset of 256  | fragment  |
