@long
Feature: Under overload, requests that cannot be answered in time are refused at once

  Guards against queues that make every request late, against refusals while targets
  are idle, against bulk requests that crowd out urgent ones, and against limits that
  outlast the overload.

  Scenario Outline: Admission control multiplies what is answered in time
    Given a site of entries in a, a, b, b with 2 targets in a and 2 in b
    And the load has been at half of the capacity
    When the load is <load> times the capacity for 3 s
    Then at least twice as many requests are answered in time as without admission control

    Examples:
      | load |
      | 1.5  |
      | 2.0  |
      | 3.0  |

  Scenario: Twice the capacity, of which 0.85 is used for answers in time
    Given a site of entries in a, a, b, b with 2 targets in a and 2 in b
    And the load has been at half of the capacity
    When the load is 2.0 times the capacity for 3 s
    Then answers in time use at least 0.85 of the capacity

  Scenario: Urgent requests come before bulk
    Given a site of entries in a, a, b, b with 2 targets in a and 2 in b
    And the load has been at half of the capacity
    When the load is 2.0 times the capacity for 3 s
    Then more than twice as large a share of urgent requests is in time as of bulk

  Scenario Outline: Without overload nothing is refused
    Given a site of entries in <entries> with <a> targets in a and <b> in b
    When the load is 0.5 times the capacity for 4 s
    Then at most 0.001 of the flows are refused
    And at least 0.99 of the requests are answered in time

    Examples:
      | entries                | a | b |
      | a                      | 3 | 0 |
      | a, a, b, b             | 2 | 2 |
      | a, a, a, a, a, a, b, b | 8 | 8 |

  Scenario: A domain short of targets uses idle ones elsewhere
    Given a site of entries in a, b with 1 targets in a and 4 in b
    When the load in a is 3.0 times that of its targets for 3 s
    Then at most 0.02 of the flows are refused
    And at least 0.9 of the requests are answered in time

  Scenario Outline: Admission recovers within a second
    Given a site of entries in a, a, b, b with 2 targets in a and 2 in b
    And the load has been at 3 times the capacity for 2 s
    And <change>
    When the load is 0.5 times the capacity for 1 s
    And the load is 0.5 times the capacity for 2 s
    Then at most 0.01 of the flows are refused
    And at least 0.97 of the requests are answered in time

    Examples:
      | change                                  |
      | nothing else changes                    |
      | an entry of each domain has been killed |

  Scenario Outline: Flows that are kept open count as busy between requests under load
    Given a site of entries in a with 1 targets in a and 0 in b
    When a flow is opened, sends a request and is <answered> at <ratio> of the objective
    Then its target has <at once> busy flows
    And after 0.09 s more its target has <then> busy flows
    And after 0.02 s more its target has 0 busy flows

    Examples:
      | answered               | ratio | at once | then |
      | answered               | 0.5   | 1       | 1    |
      | answered               | 2.0   | 1       | 1    |
      | answered               | 0.4   | 0       | 0    |
      | closed with its answer | 0.9   | 0       | 0    |

  Scenario Outline: A flow that may be open at a target is not refused
    Given a site of entries in a, a with 1 targets in a and 0 in b
    And the load has been at 4 times the capacity for 1 s
    When <packet> arrives at an entry that has no record of its flow
    Then the packet is <decision>

    Examples:
      | packet                               | decision  |
      | an opening packet                    | refused   |
      | the first copy of an opening packet  | forwarded |
      | the second copy of an opening packet | forwarded |

  Scenario Outline: A limit follows the latencies
    Given a limit on a pool of 4 slots that is used up
    When <answers> answers arrive at <ratio> times the objective
    Then the limit has <changed>

    Examples:
      | answers | ratio | changed   |
      | 40      | 0.3   | grown     |
      | 40      | 0.7   | stayed    |
      | 40      | 1.2   | shrunk    |
      | 3       | 5.0   | stayed    |
      | 400     | 0.0   | grown     |
      | 400     | 1000  | shrunk    |

  Scenario Outline: A pool whose targets are idle admits bulk from elsewhere
    Given a limit on a pool of 4 slots that is used up
    And bulk of another domain is refused, with <busy> flows busy
    When 8 answers arrive at <ratio> times the objective
    Then bulk of another domain is <decision>, with <busy> flows busy

    Examples:
      | busy | ratio | decision |
      | 6    | 0.0   | admitted |
      | 6    | 0.3   | admitted |
      | 6    | 0.6   | refused  |
      | 40   | 0.0   | refused  |

  Scenario: A limit that has not been used for long is forgotten
    Given a limit on a pool of 4 slots that is used up
    When 400 answers arrive at 5.0 times the objective
    And one answer arrives 6 s later
    Then the limit is that of a new pool

  Scenario Outline: Acknowledgements are read as latencies
    When an answer of <bytes> bytes is acknowledged <last> after <waited> s
    Then it counts as <ratio> times an objective of 0.2 s

    Examples: a single packet is acknowledged 0.04 s late; a short answer is a refusal
      | bytes | last             | waited | ratio |
      | 2000  | on an open flow  | 0.10   | 0.5   |
      | 600   | on an open flow  | 0.10   | 0.3   |
      | 600   | with the closing | 0.10   | 0.5   |
      | 600   | on an open flow  | 0.01   | 0.0   |
      | 181   | on an open flow  | 0.05   | 1.5   |
      | 181   | with the closing | 0.40   | 2.0   |
      | 0     | on an open flow  | 0.10   | 0.5   |
      | 1     | with the closing | 0.10   | 0.5   |

  Scenario Outline: An unusable latency objective is replaced by the default
    When a route states the objective <objective>
    Then its objective is <seconds> s

    Examples:
      | objective | seconds |
      | 150       | 0.15    |
      | null      | 1.0     |
      | 0         | 1.0     |
      | -5        | 1.0     |
      | true      | 1.0     |
      | "fast"    | 1.0     |
      | 1e300     | 1.0     |

  Scenario: Unusable latency objectives are counted
    When configurations with these objectives arrive: [[150, null], [0, "fast"], [-5]]
    Then 2 of them are logged as having objectives ignored, of 2 and 1 routes

  Scenario: Admission treats the services of a route alike
    When 4000 flows of a route with two services of equal weight are drawn
    Then a limit with room for half of the flows admits 0.5 of them for each service

  Scenario: A request whose answer is never seen counts for twice its objective
    Given a site of entries in a with 1 targets in a and 0 in b
    When a request with an objective of 3600 s begins, and then one with 0.15 s
    Then after 0.25 s 2 flows are busy
    And after 0.35 s 1 flow is busy
