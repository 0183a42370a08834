@real-time
Feature: A platform that comes back from an older copy takes no change back

  Guards against entries that miss changes because versions are given out again, against
  objects that an older copy takes away, and against writes based on a lost version.

  Background:
    Given a platform with profile "a" whose copy lacks its last 3 writes

  Scenario: What entries know is kept until it is written again
    Given an entry that follows the platform
    When the platform is restored from the copy
    Then 1.5 s later the entry has profile "a" as of write 4
    When write 4 is made again, and a domain is taken out
    Then within 3 s the entry has profile "a" as of write 4 and the domain is out

  Scenario: What nobody writes again is given up
    Given an entry that follows the platform
    When the platform is restored from the copy
    Then within 5 s the entry has profile "a" as of write 1

  Scenario: An object that outlives a restore stays the same one
    Given an entry that follows the platform
    When the platform is restored from the copy
    Then within 5 s the entry has profile "a" as of write 1
    And the entry's profile "a" is of the same creation as before

  Scenario: An object that is made again in a new era is another one
    Given an entry that follows the platform
    When the platform is restored from the copy
    And profile "a" is removed and made again
    Then within 5 s the entry has profile "a" as of write 7
    And the entry's profile "a" is of another creation than before

  Scenario: A version that was given out again is not taken for the lost one
    When the platform is restored from the copy, and 5 other writes are made
    Then a write based on the lost version is refused as a conflict
    And a watch from the lost version ends as expired
    And all versions that the client reads are above the lost one
