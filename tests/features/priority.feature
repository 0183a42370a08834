Feature: Bulk requests do not delay urgent ones, and still get a share

  Guards against urgent requests that wait behind bulk ones, and against bulk requests
  that get nothing, when more claims arrive for a service's slots than it has.

  Scenario: Queued claims are served by weight
    Given a claim queue with 40 urgent, 40 normal and 40 bulk claims
    When 42 claims are taken
    Then 32 urgent, 8 normal and 2 bulk claims were taken
    And each priority was served in order of arrival

  Scenario: An urgent claim waits behind at most one bulk claim
    Given a claim queue with 0 urgent, 0 normal and 40 bulk claims
    When 20 claims are taken
    And an urgent claim arrives
    Then the urgent claim is among the next 2 taken

  Scenario: Reserved slots stay free for their service
    Given a pool where urgent work reserves half of 4 slots
    When 9 bulk claims arrive
    Then 2 bulk claims are granted
    And 2 urgent claims are granted at once

  Scenario Outline: Claims that cannot be met are rejected at once
    Given a pool where urgent work reserves half of 4 slots
    When <claims>
    Then the last claim is <verdict>

    Examples:
      | claims                                          | verdict    |
      | 18 bulk claims arrive                           | waiting    |
      | 19 bulk claims arrive                           | queue-full |
      | 10 bulk claims arrive with a deadline in 0.05 s | too-late   |
      | a claim of a service without targets arrives    | no-target  |

  Scenario: A claim whose deadline passes leaves the queue with a reason
    Given a pool where urgent work reserves half of 4 slots
    When 3 bulk claims arrive
    And the deadline of all claims passes
    Then the queued claim is rejected as "expired"

  Scenario Outline: Urgent requests during a bulk load of twice the capacity
    Then with seed <seed> urgent p99 is at most 1.5 times that without bulk, and none is refused
    And with seed <seed> bulk requests still get their share

    Examples:
      | seed |
      | 1    |
      | 2    |

  Scenario: Without priorities urgent requests are delayed or refused
    Then without priorities urgent p99 exceeds 1.5 times that without bulk, or some are refused

  Scenario Outline: A load of three times the capacity for 60 s
    Then with seed <seed> goodput is at least 0.9 of the capacity
    And with seed <seed> service is normal 5 s after the overload

    Examples:
      | seed |
      | 1    |
      | 2    |
