Feature: Entries detect targets that stopped answering from callers' packets

  Guards against requests that are lost because their target stopped answering
  without notice, and against flows that are reset although their target is alive.
  With direct return an entry sees no answers: it takes retransmissions by callers
  for a sign of failure, and acknowledgements for a sign of life. Loss, slow
  targets, paused entries and full links cause retransmissions as well.

  Scenario Outline: New flows avoid a silent target, and its open flows are reset
    Given a direct site of entries in a, a with 4 targets in a and 0 in b
    And packets are lost with probability <loss>
    When 40 callers send <per_s> requests a second for 3 s
    And the first target stops answering
    And the same callers send <per_s> requests a second for 4 s
    Then each entry suspects only the silent target
    And at least <share> of the later requests are answered, the slowest after <slowest> s

    Examples: under load, and with packets lost
      | loss  | per_s | share | slowest |
      | 0     | 100   | 0.99  | 1.7     |
      | 0     | 30    | 0.99  | 1.9     |
      | 0.005 | 100   | 0.98  | 2.0     |

  Scenario: Without failure detection the same load loses requests to the silent target
    Given a direct site of entries in a, a with 4 targets in a and 0 in b
    And its entries suspect no target
    When 40 callers send 100 requests a second for 3 s
    And the first target stops answering
    And the same callers send 100 requests a second for 4 s
    Then less than 0.98 of the later requests are answered

  Scenario Outline: No flow of a live target is reset
    Given a direct site of entries in a, a with 4 targets in a and 0 in b
    And packets are lost with probability <loss>
    When 40 callers send 100 requests a second for 2 s
    And <trouble>
    And the same callers send 100 requests a second for 5 s
    Then no entry resets a flow

    Examples:
      | loss | trouble                                                 |
      | 0    | the first target takes 6 times as long for each request |
      | 0.02 | nothing else happens                                    |
      | 0    | both entries pause for 1.0 s                            |

  Scenario: A target that answers again is trusted at once
    Given a direct site of entries in a with 3 targets in a and 0 in b
    When 30 callers send 60 requests a second for 2 s
    And the first target stops answering
    And the same callers send 60 requests a second for 3 s
    And the first target answers again
    And 60 callers send 60 requests a second for 4 s
    Then no entry suspects a target

  Scenario: When all targets are suspected, one is still tried
    Given a direct site of entries in a with 2 targets in a and 0 in b
    When 10 callers send 40 requests a second for 1 s
    And every target stops answering
    And the same callers send 40 requests a second for 3 s
    And every target answers again
    And the same callers send 40 requests a second for 3 s
    Then the last 40 requests are answered

  Scenario: An entry whose own packets are delayed resets no flow
    Given a direct site of entries in a, a with 4 targets in a and 0 in b
    When 40 callers send 100 requests a second for 2 s
    And packets that the first entry sends are delayed by up to 1.3 s
    And the same callers send 100 requests a second for 4 s
    Then no entry resets a flow

  Scenario Outline: An entry whose packets queue at its own link resets no flow
    Given a direct site of entries in a, a with <targets> targets in a and 0 in b
    When 40 callers send <per_s> requests a second for 2 s
    And the link of the first entry fills up within 1 s until packets are queued for <wait> s
    And the same callers send <per_s> requests a second for 5 s
    Then no entry resets a flow

    Examples: a link that a large transfer fills
      | targets | per_s | wait |
      | 4       | 100   | 0.5  |
      | 4       | 100   | 0.7  |
      | 12      | 40    | 0.7  |
      | 12      | 40    | 1.0  |
      | 24      | 30    | 0.8  |
      | 24      | 60    | 1.2  |

  Scenario Outline: An entry whose link was briefly full resets no flow
    Given a direct site of entries in a, a with <targets> targets in a and 0 in b
    When 40 callers send <per_s> requests a second for 2 s
    And a share of <share> of the packets that the first entry sends is lost for <lost> s
    And the same callers send <per_s> requests a second for 4 s
    Then no entry resets a flow

    Examples: packets beyond a full queue are lost
      | targets | per_s | share | lost |
      | 4       | 100   | 0.8   | 0.8  |
      | 4       | 200   | 0.7   | 1.5  |
      | 12      | 100   | 0.8   | 0.8  |
      | 12      | 200   | 0.7   | 1.5  |
      | 24      | 200   | 0.8   | 0.8  |
      | 24      | 200   | 0.7   | 1.5  |

  Scenario Outline: The report of a single other entry resets no flow
    Given a direct site of entries in a with 4 targets in a and 0 in b
    When 20 callers send 40 requests a second for 1 s
    And for 2 s only flows of the other targets carry packets
    And <count> other entries report 3 unanswered flows of the first target
    And after 0.2 s a flow of the first target receives its next packet
    Then that flow <fate>

    Examples:
      | count | fate          |
      | 1     | is forwarded  |
      | 2     | is reset      |

  # Guards against resets because of reports that no longer hold.
  Scenario: A report that another entry has withdrawn resets no flow
    Given a direct site of entries in a with 4 targets in a and 0 in b
    When 20 callers send 40 requests a second for 1 s
    And for 2 s only flows of the other targets carry packets
    And 2 other entries report 3 unanswered flows of the first target
    And the first of them has no suspicion in its next heartbeat
    And after 0.2 s a flow of the first target receives its next packet
    Then that flow is forwarded

  Scenario: An entry that was cut off suspects no target afterwards
    Given a direct site of entries in a with 4 targets in a and 0 in b
    When 20 callers send 40 requests a second for 1 s
    And all packets that the first entry sends are lost for 1.5 s
    And the same callers send 40 requests a second for 1.5 s
    Then after the first answer no target has complaints against it

  Scenario: Entries that share their suspicions lose fewer requests to a silent target
    Given a direct site of entries in a, a, a, a, a, a with 6 targets in a and 0 in b
    And its entries share their suspicions with each other
    When 60 callers send 60 requests a second for 2 s
    And the first target stops answering
    And the same callers send 60 requests a second for 4 s
    Then each entry suspects only the silent target
    And at least 0.99 of the later requests are answered, the slowest after 1.9 s

  Scenario Outline: Idle callers learn that their target is gone before their next request
    Given a direct site of entries in a, a with 4 targets in a and 0 in b
    When 40 callers without retries send 100 requests a second for 2 s
    And the first target stops answering
    And <event> while 4 of its callers are idle
    And the idle callers send their next requests
    Then all of these requests are answered, each within 0.1 s

    Examples:
      | event                                     |
      | the other callers send for 2 more seconds |
      | it leaves the list 1 s later              |

  Scenario: A FIN is no sign of life, even as the first packet after the opening
    Given a direct site of entries in a with 2 targets in a and 0 in b
    When every target stops answering
    And a caller closes a flow after 0.1 s of which this entry saw only the SYN
    Then no entry has seen a target answer since

  # Guards against resets of open flows because their live target is full: it sends
  # nothing to callers that open further flows, like one that has ended.
  Scenario Outline: Open flows of full targets are not reset while others press
    Given a direct site of entries in <entries> with 4 targets in a and 0 in b
    And its entries share their suspicions with each other
    When 40 callers send 100 requests a second for 2 s
    And <full> accept no more flows, and each request there takes <work> s
    And 30 new callers send 60 requests a second for 3 s, while the others <do>
    Then no entry resets a flow

    Examples:
      | entries          | full              | work | do                         |
      | a                | the first target  | 0.02 | are idle                   |
      | a, a             | the first target  | 0.02 | are idle                   |
      | a, a             | the first targets | 0.02 | are idle                   |
      | a, a, a, a, a, a | the first target  | 0.02 | are idle                   |
      | a, a             | the first target  | 0.4  | send 2 requests every 1 s  |
      | a, a, a, a, a, a | the first target  | 0.4  | send 2 requests every 1 s  |
      | a, a, a, a, a, a | the first target  | 0.4  | send 4 requests every 1 s  |
      | a, a, a, a, a, a | the first targets | 0.4  | send 4 requests every 1 s  |
