Feature: Fixed-offset packet parsing agrees with a full parser

  Guards against flow keys, ports or flags read from the wrong offsets, and against
  packets that are forwarded although they are malformed or fragments.

  Scenario Outline: Flow keys agree with dpkt: <packets>
    Then <number> <packets> get the flow keys and drop reasons that dpkt gives

    Examples:
      | number | packets                     |
      | 1000   | UDP and TCP packets         |
      | 2000   | packets with changed bytes  |
      | 1000   | truncated or padded packets |
      | 1000   | random bytes                |

  Scenario Outline: Unsupported packets are dropped for the right reason: <case>
    Then a packet with <case> is dropped as <reason>

    Examples:
      | case                     | reason    |
      | no bytes                 | malformed |
      | a truncated header       | malformed |
      | version 6                | malformed |
      | IP options               | malformed |
      | a total length too short | malformed |
      | a total length too long  | malformed |
      | protocol ICMP            | malformed |
      | a truncated TCP header   | malformed |
      | the more-fragments flag  | fragment  |
      | a fragment offset of 1   | fragment  |
      | a fragment offset of 256 | fragment  |
