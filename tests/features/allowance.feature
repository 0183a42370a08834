Feature: A target receives no more requests than it can handle

  Guards against overload of cold, slow or failing targets, and against idle slots
  at healthy ones. Each host has a concurrency limit. It starts at 1, grows with fast
  answers, and falls when the target sheds, loses or fails requests or becomes slow.
  A request takes a slot by a claim.

  Scenario: A new target gets one request at a time
    Given a slot pool of 3 cold targets with 2 slots
    When 9 claims arrive
    Then 3 are granted, each on another target, and 6 wait

  Scenario Outline: How answers change the concurrency limit
    Given a slot pool of 3 warm targets with 2 slots
    When one target gives <answers>
    Then its concurrency limit is <limit>

    Examples:
      | answers                                                        | limit |
      | 20 good answers in 0.1 s                                       | 2     |
      | 1 shed answer                                                  | 1     |
      | 1 lost answer while others answer                              | 1     |
      | 1 lost answer after which it answered                          | 2     |
      | 1 lost answer among silence                                    | 1     |
      | 1 lost answer among silence and 1 good answers in 0.1 s        | 2     |
      | 1 lost answer among silence and 1 good answers in 0.5 s        | 1     |
      | 4 server errors                                                | 2     |
      | 5 server errors                                                | 1     |
      | 20 good answers in 0.1 s and 5 good answers in 0.5 s           | 2     |
      | 20 good answers in 0.1 s and 6 good answers in 0.5 s           | 1     |
      | 20 good answers in 0.1 s and 9 good answers in 0.5 s           | 1     |
      | 1 lost answer while others answer and 8 good answers in 0.1 s  | 2     |
      | 1 lost answer while others answer and 7 good answers in 0.1 s  | 1     |
      | 1 lost answer while others answer and 20 good answers in 0.5 s | 1     |

  Scenario Outline: A target that shed or lost a request is paused
    Given a slot pool of 2 warm targets with 2 slots
    When one target gives <answers>
    Then it gets no request for <seconds> s, and then one request

    Examples:
      | answers        | seconds |
      | 1 shed answer  | 1.0     |
      | 1 lost answer while others answer | 0.5 |

  Scenario: The slot of an unanswered request is released before the request's deadline
    Given a slot pool of 2 warm targets with 2 slots
    When 9 claims arrive
    And 3.1 s pass without an answer
    Then 2 of the waiting claims are granted, one for each target

  Scenario Outline: Load reports of targets only break ties
    Given a slot pool of 3 warm targets with 2 slots
    When one target reports a load of <load> that is <age> s old
    And <busy> of its slots are in use
    Then it is <chosen> for the next claim

    Examples:
      | load | age | busy | chosen     |
      | 0.0  | 0   | 0    | chosen     |
      | 1.0  | 0   | 0    | not chosen |
      | 0.0  | 0   | 1    | not chosen |

  Scenario: A standby that takes over knows which targets are warm
    Given a request policy
    When requests went to 2 warm targets and a standby takes over
    Then the standby allows 2 targets 2 requests at once, and the others 1
    And the standby sends 4 requests now, and 2 more 0.2 s later

  Scenario: Services on one host share its slots
    Given a slot pool of 2 hosts that serve 2 services
    When 9 claims of each service arrive
    Then 4 are granted in total

  Scenario: A retired target gets no new requests and completes those in progress
    Given a slot pool of 2 warm targets with 2 slots
    When 2 claims arrive
    And one target is retired
    And 9 claims arrive
    Then the retired target has no more requests than before

  Scenario Outline: Targets of an unreachable domain get no new requests
    Given a slot pool of 2 warm targets with 2 slots
    When the domain "<domain>" is unreachable
    And 9 claims arrive
    Then <number> are granted in total

    Examples:
      | domain | number |
      | north  | 0      |
      | south  | 4      |

  Scenario Outline: Entries that share targets through the owner in each domain
    Then with seed <seed> a cold target is never overloaded
    And with seed <seed> a target that turns cold unnoticed is overloaded at most twice a turn
    And with seed <seed> the busiest target has at most 1.15 times the mean work at 70% load
    And with seed <seed> at least 0.95 is answered at 95% load

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario Outline: All packets to targets are lost for 2.5 s
    Then with seed <seed> service is normal 5 s after the gap

    Examples:
      | seed |
      | 1    |
      | 2    |

  Scenario: Naive round robin overloads a cold target
    Then naive round robin overloads a cold target
