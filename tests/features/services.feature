Feature: A packet meant for one service never reaches another

  Callers send to a service's address throughout. From 3 s after a change on,
  and at any time at an entry that knows of it, packets go to the targets of the
  service that stands there now.

  Scenario Outline: An address changes hands while entries lag
    Given services with 300 flows, <network>
    When services change: <change>, heard <lag>
    And services see 100 new flows
    Then services get no packet of another from 3 s on, for 30 s
    And services get no packet that the sending entry knew to be another's

    Examples:
      | change                                       | lag              | network         |
      | the service is deleted                       | at once          | a quiet network |
      | the service is deleted                       | up to 2 s apart  | a quiet network |
      | deleted and made again with other targets    | at once          | a quiet network |
      | deleted and made again with other targets    | up to 2 s apart  | a quiet network |
      | another service takes its address            | up to 2 s apart  | a quiet network |
      | another service takes its address            | twice, reordered | lost packets    |
      | another service comes before the first goes  | up to 2 s apart  | a quiet network |
      | another service's target takes a host        | up to 2 s apart  | a quiet network |
      | another service's target comes before        | up to 2 s apart  | a quiet network |
      | a target moves to another service            | up to 2 s apart  | lost packets    |

  Scenario: The naive version does send packets to another service
    Given services with 300 flows, with the naive version
    When services change: a target moves to another service, heard at once
    Then services get packets of another with the naive version, or flows break

  Scenario Outline: A record of an earlier service is not followed
    Given services with 300 flows, a quiet network
    When a record of the service as it was before <change> comes from a peer
    Then services do not send the record's flow to its target

    Examples:
      | change                                    |
      | deleted and made again with other targets |
      | another service takes its address         |

  Scenario Outline: A 5-tuple that is used again opens a new flow
    Given services with 300 flows, <network>
    When services see a TCP flow end by <end>, and its 5-tuple used again
    Then the services' second flow stays with one admitted target

    Examples:
      | end                  | network         |
      | FIN                  | a quiet network |
      | FIN                  | lost packets    |
      | RST                  | a quiet network |
      | FIN, target retired  | a quiet network |
