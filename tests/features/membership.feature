Feature: Entries that disagree about who is there break nothing

  Scenario Outline: A fault of membership breaks no flow
    Given membership of nine entries with 400 flows
    When membership meets <fault>
    Then membership settles, and no flow is broken

    Examples:
      | fault                                                        |
      | an entry paused for 1 s                                      |
      | an entry paused for 10 s                                     |
      | an entry paused for 90 s                                     |
      | an entry paused for 10 s, twice                              |
      | two entries paused one after another                         |
      | an entry killed and started again before it is suspected     |
      | an entry that others do not hear, for 10 s                   |
      | one way lost between two entries for 10 s                    |
      | a list that lags 60 s behind a kill                          |
      | a list that misses live members                              |
      | a list that names dead members                               |
      | an empty list                                                |
      | lists that differ at every entry                             |

  Scenario Outline: The last entry left goes on serving while others come back
    Given membership of nine entries with 200 flows
    When membership loses all but e5, and then <others>
    Then membership has e5 take packets throughout

    Examples:
      | others                            |
      | one is started again              |
      | all are started again             |
      | they are cut off and healed again |

  Scenario: An entry that hears no other breaks no flow
    Given membership of nine entries with 400 flows
    When membership meets an entry that does not hear others, for 10 s
    Then membership settles, and no flow is broken

  Scenario: A kill while a target is admitted breaks no flow
    Given membership of nine entries with 400 flows
    When membership sees a kill while a target is admitted
    Then membership settles, and no flow is broken

  Scenario: The naive version breaks flows by a kill while a target is admitted
    Given membership of nine entries with 400 flows, naive
    When membership sees a kill while a target is admitted
    Then membership leaves broken flows

  Scenario Outline: Heartbeats out of date are not believed
    Given membership of nine entries with 0 flows
    When membership gets a heartbeat with <age>
    Then membership <believes> it

    Examples:
      | age                                       | believes         |
      | the same incarnation, an earlier sequence | does not believe |
      | the same incarnation and sequence         | does not believe |
      | an earlier incarnation, a later sequence  | does not believe |
      | a later incarnation, an earlier sequence  | believes         |
      | the receiver's own name                   | does not believe |

  Scenario Outline: Suspicion comes before an entry is left out, and not at once
    Given membership of nine entries with 0 flows
    When membership gets no heartbeat of an entry for <seconds> s
    Then membership has the entry <place>

    Examples:
      | seconds | place       |
      | 1.5     | in the ring |
      | 4       | not in the ring |

  Scenario: An entry that wakes up sends no packet before it has caught up
    Given membership of nine entries with 400 flows
    When an entry of the membership is paused while domain a goes out
    And membership wakes the entry up, and it gets packets at once
    Then membership sees no packet from it to domain a
