Feature: Targets that misbehave while the platform calls them well

  Scenario Outline: Callers are served by the targets that can, and no living flow is cut
    Given a direct site of entries in a, a with 8 targets in a and 0 in b
    When 60 callers send 120 requests a second for 2 s
    And <trouble>
    And the same callers send 120 requests a second for 6 s
    Then at least <share> of the later requests are answered, the slowest after <slowest> s
    And <resets>

    Examples: lying, hanging and slow, each for all of the 6 s
      | trouble                                      | share | slowest | resets                 |
      | the first target takes 8 times as long       | 0.99  | 1.9     | no entry resets a flow |
      | the first target leaves each 2nd unanswered  | 0.93  | 2.0     | only flows of the first target are reset |
      | the first target leaves each 4th unanswered  | 0.96  | 2.0     | only flows of the first target are reset |

    Examples: down, and down and up by turns
      | trouble                                      | share | slowest | resets                           |
      | the first target is down for 6 s             | 1.0   | 1.0     | only flows of the first target are reset |
      | the first target is down and up, each 1.4 s  | 1.0   | 1.0     | only flows of the first target are reset |
      | the first target is down and up, each 0.7 s  | 1.0   | 1.0     | only flows of the first target are reset |

  Scenario Outline: New flows go less to a target that is slow or unsteady
    Given a direct site of entries in a, a with 8 targets in a and 0 in b
    When 20 callers send 100 requests a second for 1 s
    And <trouble>
    And 60 callers come, each with one request, 30 a second
    Then the first target gets at most <share> of an equal share of these

    Examples:
      | trouble                                      | share |
      | the first target takes 40 times as long      | 0.5   |
      | the first target is down for 6 s             | 0.5   |

  Scenario Outline: Urgent requests do not wait for bulk, nor bulk for urgent
    Given a direct site of entries in a, a with 4 targets in a and 0 in b
    And a second service with 4 targets of its own
    When callers send <first> a second to the first service and <second> to the second
    Then those of the service with less load are answered, the slowest after 0.1 s

    Examples: one service at three times its capacity of 400 a second
      | first | second |
      | 1200  | 40     |
      | 40    | 1200   |
