Feature: What a restored store lacks stays in effect while it is written again

  Guards against targets, drains and evacuations that are taken away, and against older
  ones that come back, because the store was restored from a copy some seconds old.

  Scenario Outline: The last known state outlasts an older copy
    Given a site that knows <known>
    When the store is restored and lists <listed>
    Then <after> s later <state>

    # What was lost is written again within two seconds; then the store's word counts.
    Examples: evacuations
      | known              | listed             | after | state                     |
      | domain b evacuated | nothing            | 0     | domain b is evacuated     |
      | domain b evacuated | nothing            | 2     | domain b is evacuated     |
      | domain b evacuated | nothing            | 3     | domain b is not evacuated |
      | nothing            | domain b evacuated | 2     | domain b is not evacuated |
      | nothing            | domain b evacuated | 3     | domain b is evacuated     |

    Examples: targets
      | known                             | listed                            | after | state                         |
      | target 7                          | nothing                           | 2     | target 7 takes new flows      |
      | target 7                          | nothing                           | 2     | target 7 keeps its flows      |
      | target 7                          | nothing                           | 3     | target 7 takes no new flows   |
      | target 7 draining at report 9     | target 7 ready at report 4        | 2     | target 7 takes no new flows   |
      | target 7 ready at report 4        | target 7 draining at report 9     | 0     | target 7 takes no new flows   |
      | target 7 ready at report 9        | target 7 draining at report 4     | 2     | target 7 takes new flows      |
      | target 7 of start 20 at report 1  | target 7 of start 10 at report 90 | 2     | target 7 is that of start 20  |
      | target 7 of start 10 at report 90 | target 7 of start 20 at report 1  | 0     | target 7 is that of start 20  |

    Examples: configurations
      | known                        | listed                       | after | state                       |
      | configuration 8 to tills     | configuration 7 to stock     | 0     | configuration 8 to tills    |
      | configuration 8 to tills     | configuration 7 to stock     | 9     | configuration 8 to tills    |
      | configuration 8 to tills     | configuration 8 to stock     | 0     | configuration 8 to stock    |
      | configuration 8 to tills     | nothing                      | 9     | configuration 8 to tills    |

  Scenario Outline: A change after the restore applies at once
    Given a site that knows <known>
    When the store is restored and lists <listed>
    And 1 s later the store tells <change>
    Then 0 s later <state>

    Examples:
      | known                         | listed                     | change                         | state                     |
      | domain b evacuated            | nothing                    | domain b returned              | domain b is not evacuated |
      | nothing                       | domain b evacuated         | domain b returned              | domain b is not evacuated |
      | nothing                       | nothing                    | domain b evacuated             | domain b is evacuated     |
      | target 7 draining at report 9 | target 7 ready at report 4 | target 7 ready at report 10    | target 7 takes new flows  |
      | target 7 ready at report 4    | target 7 ready at report 2 | target 7 draining at report 10 | target 7 takes no new flows |

  Scenario: Two restores in a row take nothing away
    Given a site that knows domain b evacuated
    When the store is restored and lists nothing
    And 2 s later the store is restored and lists nothing
    Then 2 s later domain b is evacuated
    And 1 s later domain b is not evacuated
