Feature: The store is read through all its troubles

  Background:
    Given a metadata store with 120 targets, a configuration and an evacuated domain

  Scenario: All pages of a list are read, and changes come by a watch
    When a site reads the store
    Then within 1 s it knows 120 targets, version 1 and 1 evacuated domain
    When a target is added, one drains, one leaves and version 2 is written
    Then within 1.5 s it knows 120 targets, version 2 and 1 evacuated domain
    And one of them drains

  Scenario Outline: What the store does wrong is told, and mended once it is well
    When a site reads the store
    Then within 1 s it knows 120 targets, version 1 and 1 evacuated domain
    When the store <trouble> for <seconds> s, and version 2 is written meanwhile
    Then the site knows version 2 within <limit> s of the end
    And nothing that it knew was lost meanwhile

    Examples:
      | trouble                        | seconds | limit |
      | answers 503                    | 1       | 1     |
      | answers 429                    | 1       | 1.5   |
      | resets connections             | 1       | 1     |
      | never answers                  | 1       | 4.5   |
      | takes 0.5 s for each answer    | 2       | 2     |
      | breaks off its answers         | 0       | 2     |
      | answers with half of its JSON  | 0       | 2     |
      | forgets its history            | 0       | 1     |

  Scenario: A watch that has gone silent ends within its time
    When a site reads the store with watches of 1 s
    Then within 1 s it knows 120 targets, version 1 and 1 evacuated domain
    When the open watches go silent for good, and version 2 is written
    Then the site knows version 2 within 2.5 s of the end

  Scenario: A change that a later page had already is not taken back
    Then a feed that lists in two pages keeps the newer state of an object

  Scenario Outline: An entry that turned away makes few calls
    When a site reads the store, which <trouble> from the start
    Then it makes at most <calls> calls in 2 s

    Examples:
      | trouble            | calls |
      | answers 503        | 24    |
      | answers 429        | 9     |
      | resets connections | 24    |

  Scenario Outline: A long answer over a slow link is not given up, a silent one is
    When a site reads the store, which <trouble> from the start
    Then it <fate> the store within 4 s

    Examples:
      | trouble                              | fate           |
      | takes 1.2 s to send each answer      | never loses    |
      | takes 12 s to send each answer       | loses          |
