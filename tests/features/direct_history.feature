@long
Feature: Memory does not grow with the number of versions of a configuration

  Guards against entries that use up their memory, and all of them at the same time,
  because every version of a large configuration was kept for followers. Guards as well
  against followers that miss a change since versions in between are left out.

  Scenario Outline: Memory does not grow with the versions of a configuration
    Given an entry that has read a configuration of <routes> routes
    When <versions> more versions are written, one after the other
    Then it uses no more memory than for <copies> copies of the configuration
    And it has activated the last version

    Examples:
      | routes | versions | copies |
      | 8      | 500      | 20     |
      | 1400   | 40       | 4      |

  Scenario: A follower that is many large versions behind reads the last one
    Given an entry that has read a configuration of 1400 routes
    When 80 more versions are written, one after the other
    Then a follower that knows the first version gets the last one alone

  Scenario: Contents of deleted objects are not kept
    Given an entry that has read a configuration of 8 routes
    When 30 other objects of 100 kB are written and deleted again
    Then it uses no more memory than for 20 copies of the configuration

  Scenario: For any series of changes, each follower gets the present state
    Then for any series of changes a follower at any revision gets the present state

  Scenario: A follower behind the history gets all objects
    Given an entry that has read a configuration of 8 routes
    When 401 other objects are written
    Then a follower that knows the first version gets all 402 objects

  # Guards against cookies that are kept for routes that have gone.
  Scenario: Memory does not grow with routes that come and go
    Given a site of 2 entries and 300 targets
    When 100 routes are added one after the other, get a flow and are removed again
    Then the entries keep at most 200 kB more about targets
