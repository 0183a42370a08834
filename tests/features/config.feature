@long
Feature: A configuration change takes effect at every entry within 3 s, and stays

  Guards against entries that miss a change or return to an older version of an
  object. This can happen when entries that watch the platform (watchers) fail, when
  deliveries are repeated or reordered, when the platform is down or answers from
  old data, or when an entry starts without state and learns from an outdated peer.

  Scenario Outline: A change takes effect at every entry within 3 s
    Given a configuration at nine entries, <network>
    And the fault is: <fault>
    When the configuration is changed 5 times
    Then the last change is in force at every running entry within 3 s
    And no object has reverted to an older version

    Examples:
      | fault                                                                     | network                |
      | none                                                                      | a network without loss |
      | one watcher in each domain dead                                           | a network without loss |
      | all watchers dead                                                         | a network without loss |
      | all watchers of one domain dead                                           | lost packets           |
      | deliveries repeated and reordered                                         | reordered packets      |
      | platform down after one entry received the change                         | a network without loss |
      | platform down after one entry received the change                         | lost packets           |
      | one watcher receives the change, the others are cut off from the platform | a network without loss |

  Scenario Outline: No object reverts when an entry starts without state
    Given a configuration at nine entries, a network without loss
    When domain a and a target change, and a service is deleted
    And outdated objects come from <stale>
    And an entry starts without state
    Then no entry is ready while it holds the older version
    And the last change is in force at every running entry within 3 s
    And no object has reverted to an older version

    Examples:
      | stale              |
      | a peer             |
      | the platform's read |
      | both               |

  Scenario: A deleted object stays deleted, and one created again is a new object
    Given a configuration at nine entries, a network without loss
    When a service is deleted
    And the platform serves an older version, 10 times
    Then no entry holds the service
    When the service is created again
    Then every entry holds the service, with a later creation

  Scenario: While the platform is down for an hour, entries start from their peers' state
    Given a configuration at nine entries, a network without loss
    When the platform goes down for an hour
    And all entries are replaced one after another during that time
    Then every entry holds the same configuration
    And all nine entries are ready

  Scenario: A watcher that resumes after a long pause does not revert anything
    Given a configuration at nine entries, a network without loss
    When a watcher is paused for 90 s while domain a is taken out and brought back
    Then the last change is in force at every running entry within 3 s
    And no object has reverted to an older version

  Scenario: Without updates from peers, a change stays at one entry while the platform is down
    Given a configuration at nine entries, a network without loss
    And updates from peers are disabled
    And the fault is: platform down after one entry received the change
    When the configuration is changed 1 times
    Then the last change is missing at an entry after 3 s
