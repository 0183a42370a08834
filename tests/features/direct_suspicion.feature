Feature: Targets that stop to answer are told from callers' packets

  Scenario Outline: New flows leave a silent target, and open ones are given up
    Given a direct site of entries in a, a with 4 targets in a and 0 in b
    And packets are lost with a share of <loss>
    When 40 callers send <per_s> requests a second for 3 s
    And the first target falls silent
    And the same callers send <per_s> requests a second for 4 s
    Then each entry suspects only the silent target
    And at least <share> of the later requests are answered, the slowest after <slowest> s

    Examples: under load, and with packets lost
      | loss  | per_s | share | slowest |
      | 0     | 100   | 0.99  | 1.7     |
      | 0     | 30    | 0.99  | 1.9     |
      | 0.005 | 100   | 0.98  | 2.0     |

  Scenario: Without suspicion the same load loses what meets the silent target
    Given a direct site of entries in a, a with 4 targets in a and 0 in b
    And its entries suspect nobody
    When 40 callers send 100 requests a second for 3 s
    And the first target falls silent
    And the same callers send 100 requests a second for 4 s
    Then less than 0.98 of the later requests are answered

  Scenario Outline: A target that lives is not given up
    Given a direct site of entries in a, a with 4 targets in a and 0 in b
    And packets are lost with a share of <loss>
    When 40 callers send 100 requests a second for 2 s
    And <trouble>
    And the same callers send 100 requests a second for 5 s
    Then no entry resets a flow

    Examples:
      | loss | trouble                                    |
      | 0    | the first target takes 6 times as long     |
      | 0.02 | nothing else happens                       |
      | 0    | both entries pause for 1.0 s               |

  Scenario: A target that answers again is trusted at once
    Given a direct site of entries in a with 3 targets in a and 0 in b
    When 30 callers send 60 requests a second for 2 s
    And the first target falls silent
    And the same callers send 60 requests a second for 3 s
    And the first target answers again
    And 60 callers send 60 requests a second for 4 s
    Then no entry suspects a target any more

  Scenario: When all targets are suspected, one is still tried
    Given a direct site of entries in a with 2 targets in a and 0 in b
    When 10 callers send 40 requests a second for 1 s
    And every target falls silent
    And the same callers send 40 requests a second for 3 s
    And every target answers again
    And the same callers send 40 requests a second for 3 s
    Then the last 40 requests are answered

  Scenario: An entry whose own packets are held up gives up no flow
    Given a direct site of entries in a, a with 4 targets in a and 0 in b
    When 40 callers send 100 requests a second for 2 s
    And what the first entry sends is held up for 1.3 s
    And the same callers send 100 requests a second for 4 s
    Then no entry resets a flow

  Scenario Outline: An entry whose packets queue at its own link gives up no flow
    Given a direct site of entries in a, a with <targets> targets in a and 0 in b
    When 40 callers send <per_s> requests a second for 2 s
    And the link of the first entry fills in 1 s until packets wait for <wait> s
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

  Scenario Outline: An entry whose link was full for a moment gives up no flow
    Given a direct site of entries in a, a with <targets> targets in a and 0 in b
    When 40 callers send <per_s> requests a second for 2 s
    And a share of <share> of what the first entry sends is lost for <lost> s
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

  Scenario Outline: What one other entry alone says ends no flow
    Given a direct site of entries in a with 4 targets in a and 0 in b
    When 20 callers send 40 requests a second for 1 s
    And for 2 s only flows of the other targets have packets
    And <count> other entries say that 3 flows are stuck at the first target
    And after 0.2 s a flow of the first target has its next packet
    Then that flow <fate>

    Examples:
      | count | fate          |
      | 1     | is forwarded  |
      | 2     | is reset      |

  Scenario: An entry that was cut off holds nothing against its targets later
    Given a direct site of entries in a with 4 targets in a and 0 in b
    When 20 callers send 40 requests a second for 1 s
    And what the first entry sends is lost for 1.5 s
    And the same callers send 40 requests a second for 1.5 s
    Then after its first answer it suspects no target

  Scenario: Entries that share their suspicions lose less to a silent target
    Given a direct site of entries in a, a, a, a, a, a with 6 targets in a and 0 in b
    And its entries tell each other of their suspicions
    When 60 callers send 60 requests a second for 2 s
    And the first target falls silent
    And the same callers send 60 requests a second for 4 s
    Then each entry suspects only the silent target
    And at least 0.99 of the later requests are answered, the slowest after 1.9 s

  Scenario Outline: Callers at rest hear that their target has ended before they ask
    Given a direct site of entries in a, a with 4 targets in a and 0 in b
    When 40 callers that try once send 100 requests a second for 2 s
    And the first target falls silent
    And <news> while 4 of its callers rest
    And those callers send their next requests
    Then all of these are answered, each within 0.1 s

    Examples:
      | news                                   |
      | the others go on to send for 2 s       |
      | it leaves the list 1 s later           |

  Scenario: A close is no sign of life, though it is the first packet after the opening
    Given a direct site of entries in a with 2 targets in a and 0 in b
    When every target falls silent
    And a caller closes a flow here after 0.1 s, of which only the opening came
    Then no target has been seen to answer since
