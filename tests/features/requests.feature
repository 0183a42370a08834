@long
Feature: A non-idempotent request runs at most once

  Guards against a non-idempotent request that runs twice, is reported as not run
  although it ran, or leaves its caller without an outcome. This comes about when an
  entry or target dies, restarts or is cut off while the request passes through it, or
  when a message is lost or copied, and another holder of its record has to decide.

  Scenario Outline: A request runs despite a message lost or copied before the primary
    Given a simulated request site
    And a request fault "<fault>" at the hop "<hop>"
    When the caller sends a non-idempotent request "reorder"
    And the request site runs for 20 s
    Then "reorder" was answered by the target that ran it

    Examples:
      | hop              | fault |
      | none             | none  |
      | caller to entry  | lose  |
      | entry to primary | lose  |
      | caller to entry  | copy  |

  Scenario Outline: A fault at one hop of the path
    Given a simulated request site
    And a request fault "<fault>" at the hop "<hop>"
    When the caller sends a non-idempotent request "reorder"
    And the request site runs for 20 s
    Then "reorder" ran at most once
    And no request reported as "not run" has run
    And the caller received an outcome for "reorder"

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

  Scenario Outline: Combined faults after which a third holder of the record decides
    Given a simulated request site
    When the caller sends a non-idempotent request "earlier"
    And the caller sends a non-idempotent request "reorder"
    And the request site goes through "<events>"
    And the request site runs for 20 s
    Then "reorder" ran at most once
    And no request reported as "not run" has run
    And the caller received an outcome for "reorder"

    Examples:
      | events                                     |
      | 0.2 restart e0, 0 restart e1, 0 restart e2 |
      | 0.2 kill e0, 0 restart e1, 0 restart e2    |
      | 0.2 kill e0, 1.2 kill e1                   |
      | 0.2 kill e0, 1.2 kill e1, 0.5 kill e2      |
      | 0.2 cut e0 e1, 0 cut e0 e2, 0 cut e0 e3    |
      | 0.2 cut e0 e1, 1.2 kill e1                 |
      | 0.2 restart t0, 0 restart t1, 0 restart t2 |
      | 0.2 kill t0, 0 kill t1, 0 kill t2          |
      | 0.2 kill e0, 1.2 start e0, 0.3 kill e1     |
      | 0.2 restart e0                             |
      | 0.2 restart e0, 1.2 restart e1             |

  Scenario: A restarted entry decides while two peers hold the full state
    Given a simulated request site
    When the request site goes through "0.2 restart e0, 1.2 heal"
    And the caller sends a non-idempotent request "reorder"
    And the request site runs for 20 s
    Then "reorder" was answered by the target that ran it

  Scenario: Copies of one request reach both sides of a partition
    Given a simulated request site
    When the request site goes through "0 cut e0 e1, 0 cut e0 e2, 1.2 cut e3 e1, 0 cut e3 e2"
    And the caller sends a non-idempotent request "reorder"
    And the entry "e1" receives a copy of the request "reorder"
    And the request site runs for 20 s
    Then "reorder" ran at most once
    And no request reported as "not run" has run
    And the caller received an outcome for "reorder"

  Scenario: No random fault schedule violates a guarantee
    Then 200 random request schedules violate no guarantee
    And "outcome unknown" was reported with the causes "unsure, expired-sent"

  Scenario Outline: A queued request whose entry is no longer certain or primary
    Given a request policy
    When a non-idempotent request is queued and the entry is <standing>
    And <event>
    Then the queued request is <fate>

    Examples:
      | standing      | event               | fate                                           |
      | still certain | a slot becomes free | sent                                           |
      | still certain | its deadline passes | refused as not-run for expired-waiting         |
      | not certain   | a slot becomes free | refused as outcome-unknown for unsure          |
      | not certain   | its deadline passes | refused as outcome-unknown for expired-waiting |
      | not primary   | a slot becomes free | left pending                                   |
      | not primary   | its deadline passes | left pending                                   |

  Scenario: The naive policy violates a guarantee under the same schedules
    Then the naive request policy violates a guarantee within 50 schedules

  Scenario: Retries stay within their budget while targets shed load
    Given a request policy
    When 500 idempotent requests are shed by their targets
    Then targets received at most 1.1 times as many requests as callers sent
