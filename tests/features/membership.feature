@long
Feature: Entries that disagree about membership break no flow

  Guards against flows that move or break because entries hold different views of
  the ring. Views differ when an entry is paused, killed or cut off, and when the
  platform's VM list is late, incomplete or not the same everywhere.

  Scenario Outline: A membership fault breaks no flow
    Given a cluster of nine entries and 400 flows
    When the cluster goes through <fault>
    Then all entries agree on the ring again and no flow is broken

    Examples:
      | fault                                                |
      | an entry paused for 1 s                              |
      | an entry paused for 10 s                             |
      | an entry paused for 90 s                             |
      | an entry paused for 10 s twice                       |
      | two entries paused one after another                 |
      | an entry killed and restarted before it is suspected |
      | an entry whose messages reach no peer for 10 s       |
      | a one-way loss between two entries for 10 s          |
      | a VM list that names a killed entry for 60 s         |
      | a VM list that omits live entries                    |
      | a VM list that names dead entries                    |
      | an empty VM list                                     |
      | a different VM list at every entry                   |

  Scenario Outline: The only entry left keeps serving while others return
    Given a cluster of nine entries and 200 flows
    When the cluster loses all entries but e5, and then <recovery>
    Then e5 is ready for packets throughout

    Examples:
      | recovery            |
      | one is restarted    |
      | all are restarted   |
      | the partition heals |

  Scenario: An entry that hears no other breaks no flow
    Given a cluster of nine entries and 400 flows
    When the cluster goes through an entry that no peer's messages reach for 10 s
    Then all entries agree on the ring again and no flow is broken

  Scenario: An entry killed while a target's admission propagates breaks no flow
    Given a cluster of nine entries and 400 flows
    When an entry is killed while a target's admission propagates
    Then all entries agree on the ring again and no flow is broken

  Scenario: The naive engine breaks flows when an entry is killed during an admission
    Given a cluster of nine entries and 400 flows, using the naive engine
    When an entry is killed while a target's admission propagates
    Then some flows of the cluster are broken

  Scenario Outline: Outdated heartbeats are ignored
    Given a cluster of nine entries and 0 flows
    When an entry receives a heartbeat with <age>
    Then the heartbeat is <verdict>

    Examples:
      | age                                       | verdict  |
      | the same incarnation, an earlier sequence | ignored  |
      | the same incarnation and sequence         | ignored  |
      | an earlier incarnation, a later sequence  | ignored  |
      | a later incarnation, an earlier sequence  | accepted |
      | the receiver's own name                   | ignored  |

  Scenario Outline: A missing entry leaves the ring only after the suspicion timeout
    Given a cluster of nine entries and 0 flows
    When no heartbeat arrives from e2 for <seconds> s
    Then each live entry has e2 <place>

    Examples:
      | seconds | place            |
      | 1.5     | in its ring      |
      | 4       | outside its ring |

  Scenario: A resumed entry forwards no packet before it is up to date
    Given a cluster of nine entries and 400 flows
    When e5 is paused while failure domain a is taken out
    And e5 is resumed and receives packets at once
    Then e5 forwards no packet to domain a
