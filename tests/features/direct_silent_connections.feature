@long
Feature: Connections that fall silent do not keep a change from taking effect in time

  Guards against an idle connection that is trusted: it has carried nothing for long,
  and a call of full length on it waits for an answer that cannot come. Guards also
  against an entry that waits for such an answer while its peers have the change.
  Connections fall silent for good; new ones work.

  Scenario Outline: A change takes effect in time after connections have fallen silent
    Given a bound of <bound> s for changes and a stable window of <stable> s
    When in domains of <count> entries connections to <what> fall silent at a share of <share>, each in another phase of its watches
    And each domain has changes 0.05 s and 2.5 s later
    Then every change of each domain is known within <limit> s of it or <stable> s of the silence

    Examples: Bounds and windows of the deployments
      | bound | stable | count | what  | share | limit |
      | 3     | 4      | 3     | store | 1     | 3     |
      | 3     | 4      | 7     | store | 1     | 3     |
      | 5     | 5      | 12    | store | 1     | 5     |
      | 5     | 6      | 12    | store | 1     | 5     |

    Examples: Parts of the domain, and connections between entries
      | bound | stable | count | what  | share | limit |
      | 3     | 4      | 12    | all   | 1     | 3     |
      | 3     | 4      | 12    | peers | 1     | 3     |
      | 3     | 4      | 12    | all   | 0.7   | 3     |
      | 5     | 5      | 12    | all   | 1     | 5     |
      | 5     | 5      | 12    | peers | 1     | 5     |
      | 5     | 5      | 12    | all   | 0.7   | 5     |
      | 5     | 6      | 33    | all   | 1     | 5     |

  Scenario Outline: Readers whose connections have died stay readers
    Given a bound of <bound> s for changes and a stable window of <stable> s
    When in domains of 12 entries connections to store fall silent at a share of 1, each in another phase of its watches
    And each domain has changes 0.05 s and 2.5 s later
    Then every change of each domain is known within <limit> s of it or <stable> s of the silence
    And in each domain 2 entries have called the store since the silence

    Examples:
      | bound | stable | limit |
      | 3     | 4      | 3     |
      | 5     | 5      | 5     |

  Scenario Outline: An entry that waits for the store takes a change that its peers have
    Given a bound of <bound> s for changes and a stable window of <stable> s
    When in domains of <count> entries the connection of <which> to the store falls silent, each in another phase of its watches
    And each domain has changes 0.05 s and 2.5 s later
    Then every entry knows each change within 1 s

    Examples:
      | bound | stable | count | which      |
      | 3     | 4      | 3     | one entry  |
      | 5     | 5      | 3     | one entry  |
      | 5     | 6      | 5     | one entry  |
      | 5     | 5      | 12    | one reader |
      | 5     | 6      | 12    | one reader |

  Scenario Outline: A dead watch does not pass for one without changes once a peer has some
    Given a bound of 5 s for changes and a stable window of 5 s
    When in domains of <count> entries the connection of <which> to the store falls silent, each in another phase of its watches
    And each domain has a change 0.05 s later
    Then no entry claims to know a change that it lacks

    Examples:
      | count | which      |
      | 3     | one entry  |
      | 12    | one reader |

  Scenario Outline: The first call after a pause does not wait on a connection that has died
    Given a client that has called a server once
    When its connection falls silent, and it calls again <pause> s later
    Then the call is answered on connection <connection>

    Examples:
      | pause | connection |
      | 1.5   | 2          |
      | 60    | 2          |

  Scenario: Calls that follow each other share a connection
    Given a client that has called a server once
    When it calls again 0.5 s later
    Then the call is answered on connection 1

  Scenario: A server with many dead connections answers on new ones
    Given a server of pages with 200 connections that have died after a call each
    And a client that calls it again and again on one connection
    When the client opens 50 more connections and calls on each of them
    Then all its calls are answered, those on the first connection too
