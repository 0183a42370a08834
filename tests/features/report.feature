Feature: The report plots the bench journal and estimates the limit of a day's score

  Guards against plots that mix sites or kinds of run, and against an estimate that gives
  a request more or less credit than an outage of all entries leaves it.

  Scenario: Score runs are plotted by site, other runs are ignored
    Given a journal with 2 score runs of "mf-connect", 1 of "rust-be" and a hunt run
    When the report is generated
    Then the report plots worth and prices of mf-connect and of rust-be
    And the report prints the latest worth of each day and site

  Scenario Outline: Credit for a request that is sent while every entry is down
    When a caller <flow> sends a request <sent> s into an outage of <outage> s
    Then the request earns <credit> with an aim of <aim> s and a deadline of <deadline> s

    Examples: retransmissions after 0.2, 0.6, 1.4 and 3 s; a new attempt to open a flow every 1.4 s
      | flow            | sent | outage | aim  | deadline | credit |
      | on an open flow | 1.9  | 2.0    | 0.15 | 2.0      | 0.3    |
      | on an open flow | 1.9  | 2.0    | 0.25 | 2.0      | 1.0    |
      | on an open flow | 0.5  | 2.0    | 0.15 | 2.0      | 0.0    |
      | on an open flow | 0.5  | 2.0    | 0.15 | 4.0      | 0.3    |
      | on a new flow   | 0.5  | 2.0    | 0.15 | 2.0      | 0.3    |
      | on a new flow   | 0.0  | 4.0    | 0.15 | 9.0      | 0.0    |

  Scenario: A day without an outage of all entries has a limit of 1
    Then a day of 40 s with all entries down for 0 s has a limit of 1.0
    And the limit falls as all entries are down for longer
