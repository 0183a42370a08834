@real-time
Feature: The site's state is read from the store despite the store's faults

  Guards against a site that loses or misses state when the store refuses, delays,
  truncates or never sends its answers, has dropped its history or leaves a watch silent,
  and against a site that floods a faulty store with calls.

  Background:
    Given a metadata store with 120 targets, a configuration and an evacuated domain

  Scenario: All pages of a list are read, and later changes arrive by a watch
    When a site reads the store
    Then within 1 s the site has 120 targets, version 1 and 1 evacuated domain
    When a target is added, one drains, one is removed and version 2 is written
    Then within 1.5 s the site has 120 targets, version 2 and 1 evacuated domain
    And one of the targets is draining

  Scenario Outline: The site catches up once a store fault ends
    When a site reads the store
    Then within 1 s the site has 120 targets, version 1 and 1 evacuated domain
    When the store <fault> for <seconds> s, and version 2 is written meanwhile
    Then the site has version 2 within <limit> s of the end
    And the site has kept all its targets meanwhile

    Examples:
      | fault                         | seconds | limit |
      | answers 503                   | 1       | 1     |
      | answers 429                   | 1       | 1.5   |
      | resets connections            | 1       | 1     |
      | never answers                 | 1       | 4.5   |
      | delays each answer by 0.5 s   | 2       | 2     |
      | truncates its answers         | 0       | 2     |
      | answers with half of its JSON | 0       | 2     |
      | forgets its history           | 0       | 1     |

  Scenario: A watch that goes silent is ended at its time-out
    When a site reads the store with watches of 1 s
    Then within 1 s the site has 120 targets, version 1 and 1 evacuated domain
    When the open watches go silent for good, and version 2 is written
    Then the site has version 2 within 2.5 s of the end

  Scenario: A change does not undo newer state from a later page
    Then a feed that lists in two pages keeps the newer state of an object

  Scenario: A list that is half read is not continued after a peer's update
    Then a feed that followed a peer between two pages lists from the start

  Scenario: A list that spans a restore of the store is read again
    Then a feed that meets a new era between two pages lists from the start

  Scenario Outline: A site that read the store before it was restored catches up
    When a site reads the store
    Then within 1 s the site has 120 targets, version 1 and 1 evacuated domain
    When the store is restored <times> times from a copy without its last 30 changes
    And version 2 is written
    Then the site has version 2 within 2 s of the end
    And the site has kept all its targets meanwhile

    Examples:
      | times |
      | 1     |
      | 2     |

  Scenario Outline: A site whose calls fail makes few of them
    When a site reads the store, which <fault> from the start
    Then the site makes at most <calls> calls in 2 s

    Examples:
      | fault              | calls |
      | answers 503        | 24    |
      | answers 429        | 9     |
      | resets connections | 24    |

  Scenario Outline: A slow answer is waited for, a stalled one is given up
    When a site reads the store, which <fault> from the start
    Then the site <fate> the store within 4 s

    Examples:
      | fault                           | fate        |
      | takes 1.2 s to send each answer | never loses |
      | takes 12 s to send each answer  | loses       |
