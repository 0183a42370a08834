Feature: An accepted configuration is in force everywhere within 3 s, and stays

  Scenario Outline: A change is in force at every entry within 3 s
    Given config at nine entries, <network>
    And config faults: <fault>
    When config is changed 5 times
    Then config of the last change is in force at every running entry within 3 s
    And config has reverted nowhere

    Examples:
      | fault                                        | network             |
      | none                                         | a quiet network     |
      | one reader in each domain dead               | a quiet network     |
      | all readers dead                             | a quiet network     |
      | all readers of one domain dead               | lost packets        |
      | deliveries twice and reordered               | reordered packets   |
      | platform down after one reader got it        | a quiet network     |
      | platform down after one reader got it        | lost packets        |
      | one reader hears it, the others are unplugged | a quiet network    |

  Scenario Outline: Nothing reverts when an entry starts with nothing
    Given config at nine entries, a quiet network
    When config of domain a, a target and a deleted service changes
    And config of <stale> is from before the change
    And config meets an entry that starts with nothing
    Then config of the new entry never takes part with what is stale
    And config of the last change is in force at every running entry within 3 s
    And config has reverted nowhere

    Examples:
      | stale              |
      | a peer             |
      | the platform's read |
      | both               |

  Scenario: A deleted object stays deleted, and one made again is another
    Given config at nine entries, a quiet network
    When config of a service is deleted
    And config of the service is read from a stale platform, 10 times
    Then config holds the service nowhere
    When config of the service is made again
    Then config holds the service everywhere, with another creation

  Scenario: With the platform down for an hour, entries start from their peers
    Given config at nine entries, a quiet network
    When the platform of config is down for an hour
    And config entries are replaced one after another meanwhile
    Then config is the same everywhere
    And every entry of config takes part

  Scenario: A reader paused past everything wakes up and does no harm
    Given config at nine entries, a quiet network
    When config of a reader is paused for 90 s while domain a goes out and back
    Then config of the last change is in force at every running entry within 3 s
    And config has reverted nowhere

  Scenario: Without news from peers, a change with the platform down stays with one
    Given config at nine entries, a quiet network
    And config news from peers is switched off
    And config faults: platform down after one reader got it
    When config is changed 1 times
    Then config of the last change is missing at an entry after 3 s
