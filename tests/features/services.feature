Feature: A packet for one service never reaches another

  Guards against packets that reach a target of another service after an address, host
  or target has changed its service. This comes about when entries learn of the change
  at different times, follow an old flow record, or see a 5-tuple used again.

  Callers send to a service's address throughout. From 3 s after a change on, and at
  any time at an entry that knows of it, packets go to the targets of the service that
  has the address now.

  Scenario Outline: An address moves to another service while entries learn of it at different times
    Given a service site with 300 flows and <network>
    When the services change: <change>, seen <lag>
    And 100 new flows of the services open
    Then no target gets a packet of another service from 3 s on, for 30 s
    And no entry sends a packet to a target it knows to be another service's

    Examples:
      | change                                                   | lag                        | network            |
      | the service is deleted                                   | at once                    | a lossless network |
      | the service is deleted                                   | by entries up to 2 s apart | a lossless network |
      | recreated with other targets                             | at once                    | a lossless network |
      | recreated with other targets                             | by entries up to 2 s apart | a lossless network |
      | another service takes its address                        | by entries up to 2 s apart | a lossless network |
      | another service takes its address                        | twice and reordered        | a lossy network    |
      | another service is created before the first is deleted   | by entries up to 2 s apart | a lossless network |
      | another service's target gets a deleted target's host    | by entries up to 2 s apart | a lossless network |
      | another service's target gets a host before the deletion | by entries up to 2 s apart | a lossless network |
      | a target moves to another service                        | by entries up to 2 s apart | a lossy network    |

  Scenario: The naive engine sends packets to another service
    Given a service site with 300 flows and the naive engine
    When the services change: a target moves to another service, seen at once
    Then targets get packets of another service, or flows break

  Scenario Outline: A record of an earlier service is ignored
    Given a service site with 300 flows and a lossless network
    When a peer sends a record of the service from before this change: <change>
    Then no entry sends the record's flow to the record's target

    Examples:
      | change                            |
      | recreated with other targets      |
      | another service takes its address |

  Scenario Outline: A reused 5-tuple opens a new flow
    Given a service site with 300 flows and <network>
    When a TCP flow ends by <end> and its 5-tuple is used again
    Then the second flow stays with one admitted target of the service

    Examples:
      | end                 | network            |
      | FIN                 | a lossless network |
      | FIN                 | a lossy network    |
      | RST                 | a lossless network |
      | FIN, target retired | a lossless network |
