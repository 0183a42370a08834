Feature: Urgent requests are not held up by bulk ones, nor bulk starved

  Scenario: Waiting claims are served by weight
    Given a claim queue with 40 urgent, 40 normal and 40 bulk claims
    When 42 claims are taken
    Then 32 urgent, 8 normal and 2 bulk claims were taken
    And each priority was served in order of arrival

  Scenario: An urgent claim waits behind at most one bulk claim
    Given a claim queue with 0 urgent, 0 normal and 40 bulk claims
    When 20 claims are taken
    And an urgent claim comes
    Then the urgent claim is among the next 2 taken

  Scenario: Reserved slots are kept for their service
    Given a pool where urgent work reserves half of 4 slots
    When 9 bulk claims come
    Then 2 bulk claims are granted
    And 2 urgent claims are granted at once

  Scenario Outline: Claims are refused at once when they cannot be met
    Given a pool where urgent work reserves half of 4 slots
    When <claims>
    Then the last claim is <verdict>

    Examples:
      | claims                                         | verdict    |
      | 18 bulk claims come                            | waiting    |
      | 19 bulk claims come                            | queue-full |
      | 10 bulk claims come that have 0.05 s           | too-late   |
      | a claim of a service without targets comes     | no-target  |

  Scenario: A claim whose deadline passes is taken out and told
    Given a pool where urgent work reserves half of 4 slots
    When 3 bulk claims come
    And the deadline of all claims passes
    Then the waiting claim is told "expired"

  Scenario Outline: Urgent beside a bulk flood at twice the capacity
    Then with seed <seed> urgent requests are as fast as alone, times 1.5, and none is refused
    And with seed <seed> bulk still moves

    Examples:
      | seed |
      | 1    |
      | 2    |

  Scenario: Without priorities urgent requests are held up
    Then without priorities urgent requests are slower than alone times 1.5, or refused

  Scenario Outline: Three times the capacity for 60 s
    Then with seed <seed> goodput is at least 0.9 of the capacity
    And with seed <seed> service is normal 5 s after the flood

    Examples:
      | seed |
      | 1    |
      | 2    |
