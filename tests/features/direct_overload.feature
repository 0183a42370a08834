@long
Feature: Loads that come with releases, outages and slow targets are served in time

  Guards against capacity that is there and not used, and against refusals that hide
  that a request has run. Entries exchange nothing here: each decides alone.

  Scenario Outline: Most requests are in time while <change>
    Given a site of entries in a, a, b, b with 2 targets in a and 2 in b
    And the load has been at half of the capacity
    When <change> and the load is <load> times the capacity for 3 s
    Then at least 0.85 of the requests are answered in time

    Examples:
      | change                                  | load |
      | one target is five times slower         | 0.5  |
      | one target has crashed                  | 0.5  |
      | two targets have just started cold      | 0.8  |
      | each target is replaced by a cold one   | 0.4  |
      | 400 more flows are open and idle        | 0.5  |
      | half of the entries have been killed    | 0.5  |

  Scenario: Callers that return after 1 s at 0.5 of the capacity are served at once
    Given a site of entries in a, a, b, b with 2 targets in a and 2 in b
    And the load has been at half of the capacity
    And no entry has run for 1 s at 0.5 times the capacity
    When the load is 0.5 times the capacity for 2 s
    Then at least 0.85 of the requests are answered in time

  Scenario: Callers that return after 1 s at 0.8 of the capacity are served at once
    Given a site of entries in a, a, b, b with 2 targets in a and 2 in b
    And the load has been at half of the capacity
    And no entry has run for 1 s at 0.8 times the capacity
    When the load is 0.8 times the capacity for 2 s
    Then at least 0.85 of the requests are answered in time

  Scenario: Callers that return after 3 s at 0.8 of the capacity are served at once
    Given a site of entries in a, a, b, b with 2 targets in a and 2 in b
    And the load has been at half of the capacity
    And no entry has run for 3 s at 0.8 times the capacity
    When the load is 0.8 times the capacity for 2 s
    Then at least 0.85 of the requests are answered in time

  Scenario Outline: Two seconds after an outage callers are served as before
    Given a site of entries in a, a, b, b with 2 targets in a and 2 in b
    And the load has been at half of the capacity
    And no entry has run for <down> s at <load> times the capacity
    And the load has been at <load> times the capacity for 2 s
    When the load is <load> times the capacity for 2 s
    Then at most 0.01 of the flows are refused
    And at least 0.97 of the requests are answered in time

    Examples:
      | down | load |
      | 1.0  | 0.5  |
      | 3.0  | 0.5  |
      | 5.0  | 0.5  |

  Scenario Outline: Admission control helps entries that see a small part of the load
    Given a site of entries in <entries> with 2 targets in a and 2 in b
    And the load has been at half of the capacity
    When <change> and the load is 2.0 times the capacity for 3 s
    Then at least twice as many requests are answered in time as without admission control

    Examples:
      | entries                                        | change                               |
      | a, a, a, a, a, a, a, a, b, b, b, b, b, b, b, b | nothing else changes                 |
      | a, a, a, a, a, a, a, a, b, b, b, b, b, b, b, b | half of the entries have been killed |

  Scenario Outline: What was refused has not run, and nothing runs twice
    Given a site of entries in a, a, b, b with 2 targets in a and 2 in b
    And <loss> of the packets are lost
    When the load is 3.0 times the capacity for 2 s
    Then no request that was refused to its caller has run
    And no request has run twice

    Examples:
      | loss |
      | 0    |
      | 0.02 |
