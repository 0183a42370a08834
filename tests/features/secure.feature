@real-time
Feature: Entries with keys and certificates work together as processes

  Guards against entries that cannot exchange configuration over mutual TLS, and against
  an entry or client without a certificate of the site's CA that can read it.

  Scenario: An entry without a platform gets its configuration over mutual TLS
    Given a platform for secure entries that holds one domain object
    And secure entries: e1 with the platform, e2 without, both with one CA
    Then secure e2 gets the object and is ready
    And a client without a certificate gets no dump from secure e2

  Scenario: An entry with another CA gets no configuration
    Given a platform for secure entries that holds one domain object
    And secure entries: e1 with the platform, e2 without, e2 with another CA
    Then secure e2 has no object after 6 s
