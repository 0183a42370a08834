Feature: Entries with keys and certificates work together as processes

  Scenario: Configuration reaches an entry without platform over mutual TLS
    Given a secure platform that holds one domain object
    And secure entries: e1 with the platform, e2 without, both of one authority
    Then secure e2 comes to have the object and is ready
    And a secure caller without a certificate gets no dump

  Scenario: An entry of another authority gets no configuration
    Given a secure platform that holds one domain object
    And secure entries: e1 with the platform, e2 without, e2 of another authority
    Then secure e2 has no object after 6 s
