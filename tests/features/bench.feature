@real-time
Feature: The load tool reports every broken rule, and no false ones

  Guards against a load run that passes although requests were lost, run twice,
  answered wrongly or sent to a domain that was out, and against one that fails
  because of events that the rules allow, such as lost requests to targets of a
  domain that is being taken out.

  Scenario Outline: An answer that is <answer> is <verdict>
    Given a request for <path>
    When its answer is <answer>
    Then the answer is <verdict>

    Examples:
      | path | answer                  | verdict |
      | work | its own                 | right   |
      | work | that of another request | wrong   |
      | work | that of another service | wrong   |
      | work | truncated               | wrong   |
      | work | empty                   | wrong   |
      | work | a bare number           | wrong   |
      | big  | its own                 | right   |
      | big  | that of another request | wrong   |
      | big  | that of another service | wrong   |
      | big  | truncated               | wrong   |
      | big  | empty                   | wrong   |

  Scenario Outline: A caller that receives <replies> counts <counts>
    Given a caller whose service replies <replies>
    When the caller sends one request
    Then the tally has <counts>
    And the request was sent <sent> times with the same id

    Examples:
      | replies             | counts                              | sent |
      | answer              | sent 1, answered 1                  | 1    |
      | refusal, answer     | sent 1, refused 1, answered 1       | 2    |
      | refusal, refusal, answer | sent 1, refused 2, answered 1  | 3    |
      | unknown             | sent 1, unknown 1                   | 1    |
      | error               | sent 1, error 4.04 1                | 1    |
      | wrong               | sent 1, wrong 1                     | 1    |
      | silence             | sent 1, lost 1                      | 1    |
      | refusal, silence    | sent 1, refused 1, lost 1           | 2    |

  Scenario Outline: A run in which <event> breaks <rules>
    Given a run without broken rules, with a domain out from 100 s to 110 s
    When the run also recorded that <event>
    Then the broken rules are <rules>

    Examples:
      | event                                             | rules                                             |
      | nothing else happened                             | none                                              |
      | a wrong answer arrived                            | 1 wrong answers                                   |
      | a request was lost                                | 1 requests of surviving domains lost              |
      | a request that the domain's target ran was lost   | none                                              |
      | a request that another target ran was lost        | 1 requests of surviving domains lost              |
      | a request on a connection to the domain was lost  | none                                              |
      | a request on a connection elsewhere was lost      | 1 requests of surviving domains lost              |
      | a watch of the domain broke at 105 s              | none                                              |
      | a watch of the domain broke at 95 s               | 1 watches of surviving domains broken             |
      | a watch of the domain broke at 130 s              | 1 watches of surviving domains broken             |
      | a watch of another domain broke at 105 s          | 1 watches of surviving domains broken             |
      | a post ran on two targets                         | 1 non-idempotent requests run more than once      |
      | a post of an earlier run ran on two targets       | none                                              |
      | a get ran on two targets                          | none                                              |
      | the domain received a packet at 102 s             | none                                              |
      | the domain received a packet at 104 s             | 1 packets to a domain that was out                |
      | the domain received a packet at 111 s             | none                                              |
      | another domain received a packet at 104 s         | none                                              |
      | a retired target ran a request after 2 s          | none                                              |
      | a retired target ran a request after 4 s          | 1 requests run at a target that was retired       |
      | a retired target kept a connection busy after 4 s | none                                              |
      | a request sent at 100 s got an error              | none                                              |
      | a request sent at 90 s got an error               | 1 requests answered by an error, no domain moving |
      | a request sent at 90 s got an unknown outcome     | none                                              |
      | a target's dump could not be read                 | 1 targets whose dump could not be read            |
      | no request was answered                           | no request was answered                           |

  Scenario Outline: The observed states <states> give the outages <outages>
    When the load tool observes the states <states> of a domain
    Then its outages are <outages>

    Examples:
      | states             | outages |
      | in in in           | none    |
      | in out out in      | 1-2     |
      | out out            | 0-1     |
      | in out miss out in | 1-3     |
      | in out in out      | 1-1 3-3 |

  Scenario Outline: The service level while a domain moves counts requests sent <when>
    Given a run without broken rules, with a domain out from 100 s to 110 s
    When a request sent at <second> s was answered and one was lost
    Then <requests> requests were sent while the domain moved, <share> of them answered

    Examples:
      | when                | second | requests | share |
      | before              | 99     | 1        | 1     |
      | while it was out    | 104    | 3        | 0.667 |
      | just after it       | 114    | 3        | 0.667 |
      | long after it       | 120    | 1        | 1     |

  Scenario: The imbalance is calculated from the requests that targets ran
    Given targets of one service that ran 10, 20 and 30 requests
    Then the imbalance is 1.50 and 0.41

  Scenario: A complete run over a small site breaks no rule
    Given a small site with 2 entries
    And a platform with the site's objects
    When the load tool runs for 3 seconds
    Then it sent requests to both services, all were answered, and no watch broke

  Scenario: A watch that goes silent just before the end is reported
    Given a small site with 2 entries
    And a platform with the site's objects
    When all entries are killed 0.5 seconds before the end of a load of 2 seconds
    Then it reports 2 watches as silent
