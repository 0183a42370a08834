Feature: A request that may not run twice runs at most once

  Scenario Outline: Without a fault, or with a lost first packet, it runs
    Given a request site
    And a request fault "<fault>" at the hop "<hop>"
    When the caller sends a request "reorder" that may not run twice
    And the request site runs for 20 s
    Then "reorder" was answered by the target that ran it

    Examples:
      | hop              | fault |
      | none             | none  |
      | caller to entry  | lose  |
      | entry to primary | lose  |
      | caller to entry  | copy  |

  Scenario Outline: A fault at one step of the path
    Given a request site
    And a request fault "<fault>" at the hop "<hop>"
    When the caller sends a request "reorder" that may not run twice
    And the request site runs for 20 s
    Then "reorder" ran at most once
    And nothing told "not run" ran
    And "reorder" was told its end

    Examples:
      | hop                   | fault         |
      | caller to entry       | kill receiver |
      | caller to entry       | lose          |
      | caller to entry       | copy          |
      | entry to primary      | kill sender   |
      | entry to primary      | kill receiver |
      | entry to primary      | lose          |
      | entry to primary      | copy          |
      | primary to standby    | kill sender   |
      | primary to standby    | kill receiver |
      | primary to standby    | lose          |
      | primary to standby    | copy          |
      | standby to standby    | kill sender   |
      | standby to standby    | kill receiver |
      | standby to standby    | lose          |
      | standby to standby    | copy          |
      | standby to target     | kill sender   |
      | standby to target     | kill receiver |
      | standby to target     | lose          |
      | standby to target     | copy          |
      | target to entry       | kill sender   |
      | target to entry       | kill receiver |
      | target to entry       | lose          |
      | target to entry       | copy          |
      | entry back to primary | kill sender   |
      | entry back to primary | kill receiver |
      | entry back to primary | lose          |
      | entry back to primary | copy          |
      | primary to caller     | kill sender   |
      | primary to caller     | lose          |
      | primary to caller     | copy          |

  Scenario Outline: Two faults that only a third holder sees through
    Given a request site
    When the caller sends a request "earlier" that may not run twice
    And the caller sends a request "reorder" that may not run twice
    And the request site plays "<events>"
    And the request site runs for 20 s
    Then "reorder" ran at most once
    And nothing told "not run" ran
    And "reorder" was told its end

    Examples:
      | events                                       |
      | 0.2 restart e0, 0 restart e1, 0 restart e2   |
      | 0.2 kill e0, 0 restart e1, 0 restart e2      |
      | 0.2 kill e0, 1.2 kill e1                     |
      | 0.2 kill e0, 1.2 kill e1, 0.5 kill e2        |
      | 0.2 cut e0 e1, 0 cut e0 e2, 0 cut e0 e3      |
      | 0.2 cut e0 e1, 1.2 kill e1                   |
      | 0.2 restart t0, 0 restart t1, 0 restart t2   |
      | 0.2 kill t0, 0 kill t1, 0 kill t2            |
      | 0.2 kill e0, 1.2 start e0, 0.3 kill e1       |
      | 0.2 restart e0                               |
      | 0.2 restart e0, 1.2 restart e1               |

  Scenario: An entry that just restarted decides while two others know all
    Given a request site
    When the request site plays "0.2 restart e0, 1.2 heal"
    And the caller sends a request "reorder" that may not run twice
    And the request site runs for 20 s
    Then "reorder" was answered by the target that ran it

  Scenario: Two copies of one request on the two sides of a partition
    Given a request site
    When the request site plays "0 cut e0 e1, 0 cut e0 e2, 1.2 cut e3 e1, 0 cut e3 e2"
    And the caller sends a request "reorder" that may not run twice
    And the entry "e1" gets a copy of the request "reorder"
    And the request site runs for 20 s
    Then "reorder" ran at most once
    And nothing told "not run" ran
    And "reorder" was told its end

  Scenario: No random schedule of faults breaks a promise
    Then 200 request schedules keep every promise
    And "outcome unknown" was said for the causes "unsure, expired-sent"

  Scenario Outline: A waiting request whose entry loses its standing
    Given a request policy
    When a request that may not run twice waits, and the entry is <standing>
    And <event>
    Then the waiting request is <fate>

    Examples:
      | standing      | event               | fate                                         |
      | still certain | a slot comes free   | sent                                         |
      | still certain | its deadline passes | refused as not-run for expired-waiting       |
      | not certain   | a slot comes free   | refused as outcome-unknown for unsure        |
      | not certain   | its deadline passes | refused as outcome-unknown for expired-waiting |
      | not primary   | a slot comes free   | left alone                                   |
      | not primary   | its deadline passes | left alone                                   |

  Scenario: The naive version breaks a promise in the same schedules
    Then the naive request policy breaks a promise in 50 schedules

  Scenario: A failing service sees no storm of retries
    Given a request policy
    When 500 requests that may run twice are shed by their targets
    Then targets saw at most 1.1 times as many requests as callers sent
