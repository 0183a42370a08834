Feature: The journal of the users' bench is drawn, and a day's limit is estimated

  Scenario: Scores are drawn by site, other runs are passed over
    Given a journal of 2 scores of "mf-connect", 1 of "rust-be" and a hunt
    When the report is made
    Then it draws worth and prices of mf-connect and of rust-be
    And it prints the last worth of each day of each site

  Scenario Outline: What a request earns that is sent while every entry is down
    When a caller <habit> sends it <sent> s into an outage of <outage> s
    Then it earns <credit> with an aim of <aim> s and a deadline of <deadline> s

    Examples: copies after 0.2, 0.6, 1.4 and 3 s; a flow is opened in tries of 1.4 s
      | habit            | sent | outage | aim  | deadline | credit |
      | on an open flow  | 1.9  | 2.0    | 0.15 | 2.0      | 0.3    |
      | on an open flow  | 1.9  | 2.0    | 0.25 | 2.0      | 1.0    |
      | on an open flow  | 0.5  | 2.0    | 0.15 | 2.0      | 0.0    |
      | on an open flow  | 0.5  | 2.0    | 0.15 | 4.0      | 0.3    |
      | on a new flow    | 0.5  | 2.0    | 0.15 | 2.0      | 0.3    |
      | on a new flow    | 0.0  | 4.0    | 0.15 | 9.0      | 0.0    |

  Scenario: A day without a restart of all entries has no limit below the whole
    Then a day of 40 s with all entries down for 0 s has a limit of 1.0
    And the longer all entries are down, the lower is the limit
