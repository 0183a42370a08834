Feature: kumquat-ctl explains a failed flow from the log alone

  Scenario Outline: The cause is named where lines show it
    Given a log in which <story>
    When kumquat-ctl explains the flow 100.64.0.7:1031
    Then the explanation says "<cause>"

    Examples:
      | story                                          | cause                                   |
      | the flow is reset for a silent target          | its target stopped answering            |
      | the flow is reset for a target that has ended  | its target had terminated               |
      | the flow is refused for want of a target       | no target of the service could accept   |
      | the flow is refused for want of a route        | no route matched the address and port   |
      | the target falls silent after the flow opened  | target suspected: i-7                   |
      | the entry dies after the flow opened           | it was killed or lost power             |
      | a packet of the flow is dropped                | its last packet was dropped by e1       |
      | nothing more is told of the flow               | the log does not show                   |
      | other flows alone are told of                  | no line mentions 100.64.0.7:1031        |

  Scenario: What is no log line is passed over
    Given a log in which the flow is reset for a silent target
    And the log holds other text, broken lines and a collector's prefixes
    When kumquat-ctl explains the flow 100.64.0.7:1031
    Then the explanation says "its target stopped answering"

  Scenario Outline: All failures are counted by cause, and what left no line is told
    Given a log in which <story>
    When kumquat-ctl explains all failures
    Then the explanation says "<said>"

    Examples:
      | story                                    | said                                    |
      | the flow is reset for a silent target    | 1 x flow reset (target_silent)          |
      | the entry dies after the flow opened     | 1 x entry terminated without shutting down |
      | lines had to be left out                 | 1 x lines were omitted                  |
      | nothing more is told of the flow         | no flow was refused or reset            |

  Scenario: What entries have seen of a target is told in order
    Given a log in which the flow is reset for a silent target
    When kumquat-ctl explains the target i-7
    Then the explanation says "1 target suspected"

  Scenario Outline: A second of the day is told
    Given a log in which the flow is reset for a silent target
    When kumquat-ctl explains the second <second>
    Then the explanation says "<said>"

    Examples:
      | second | said                                |
      | 12     | 1 target suspected, 1 flow reset    |
      | 12.7   | 1 target suspected, 1 flow reset    |
      | 11     | no line falls within second 11      |

  Scenario Outline: A second that is none is told with what is allowed
    Given a log in which the flow is reset for a silent target
    Then kumquat-ctl refuses the second "<second>", and says "a time as in the log"

    Examples:
      | second |
      | noon   |
      | nan    |
      | inf    |

  Scenario: A log that is not there is told
    When kumquat-ctl explains the log "build/no-such.log"
    Then kumquat-ctl explains nothing, and says "No such file"
