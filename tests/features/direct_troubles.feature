Feature: Targets that misbehave while the platform reports them as healthy

  Guards against lost requests, and against resets of flows on live targets, when a
  target is slow, hangs, answers only some requests, or goes down and up by turns,
  and the platform still lists it as healthy.

  Scenario Outline: Callers are served by the healthy targets, and no flow of these is reset
    Given a direct site of entries in a, a with 8 targets in a and 0 in b
    When 60 callers send 120 requests a second for 2 s
    And <trouble>
    And the same callers send 120 requests a second for 6 s
    Then at least <share> of the later requests are answered, the slowest after <slowest> s
    And <resets>

    Examples: slow, or answering only some requests, for all of the 6 s
      | trouble                                                 | share | slowest | resets                                   |
      | the first target takes 8 times as long for each request | 0.99  | 1.9     | no entry resets a flow                   |
      | the first target leaves every 2nd request unanswered    | 0.93  | 2.0     | only flows of the first target are reset |
      | the first target leaves every 4th request unanswered    | 0.96  | 2.0     | only flows of the first target are reset |

    Examples: down, or alternately down and up
      | trouble                                                     | share | slowest | resets                                   |
      | the first target is down for 6 s                            | 1.0   | 1.0     | only flows of the first target are reset |
      | the first target alternates between down and up every 1.4 s | 1.0   | 1.0     | only flows of the first target are reset |
      | the first target alternates between down and up every 0.7 s | 1.0   | 1.0     | only flows of the first target are reset |

  Scenario Outline: A slow or unstable target gets fewer new flows
    Given a direct site of entries in a, a with 8 targets in a and 0 in b
    When 20 callers send 100 requests a second for 1 s
    And <trouble>
    And 60 callers arrive, each with one request, 30 a second
    Then the first target gets at most <share> of an equal share of their flows

    Examples:
      | trouble                                                  | share |
      | the first target takes 40 times as long for each request | 0.5   |
      | the first target is down for 6 s                         | 0.5   |

  Scenario Outline: The load of one service does not delay another service
    Given a direct site of entries in a, a with 4 targets in a and 0 in b
    And a second service with 4 targets of its own
    When callers send <first> requests a second to the first service and <second> to the second
    Then the requests of the service with less load are answered, the slowest after 0.1 s

    Examples: one service at three times its capacity of 400 requests a second
      | first | second |
      | 1200  | 40     |
      | 40    | 1200   |
