Feature: An answer of the store is taken only for the call that it answers

  Guards against a second copy of an answer that arrives on a connection which is in
  use again: it may bring a target back that has left, and each later answer would be
  taken for the call after its own.

  Scenario Outline: A second copy of an answer brings nothing back
    Given a store on one connection that listed targets i-0001 and i-0002
    And target i-0003 has been added and removed again
    When the store sends the answer that added i-0003 once more <moment>
    Then the targets in use are i-0001, i-0002
    When target i-0004 is added
    Then the targets in use are i-0001, i-0002, i-0004
    And there were at most 2 connections

    Examples:
      | moment                             |
      | right behind the answer of removal |
      | while no call is pending           |
      | while the next watch is pending    |

  Scenario Outline: A page is not taken for the one that follows it
    Given a store on one connection with 130 targets
    When the store sends the first page once more <moment>
    Then all 130 targets are in use, each of them once
    And there were at most 2 connections

    Examples:
      | moment                            |
      | right behind it                   |
      | while the second page is awaited  |

  Scenario: Without copies the connection is kept
    Given a store on one connection that listed targets i-0001 and i-0002
    And target i-0003 has been added and removed again
    When target i-0004 is added
    Then the targets in use are i-0001, i-0002, i-0004
    And there were at most 1 connections
