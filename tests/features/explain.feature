Feature: kumquat-ctl explains a failed flow from the log alone

  Guards against failures that the event log records but kumquat-ctl does not name,
  against wrong causes, and against log files with other lines in between.

  Scenario Outline: The cause is named if the log shows it
    Given a log in which <case>
    When kumquat-ctl explains the flow 100.64.0.7:1031
    Then the explanation says "<cause>"

    Examples:
      | case                                                | cause                                 |
      | the flow is reset because its target was silent     | its target stopped answering          |
      | the flow is reset because its target has terminated | its target had terminated             |
      | the flow is refused for lack of a target            | no target of the service could accept |
      | the flow is refused for lack of a route             | no route matched the address and port |
      | the target stops answering after the flow opened    | target suspected: i-7                 |
      | the entry is killed after the flow opened           | it was killed or lost power           |
      | a packet of the flow is dropped                     | its last packet was dropped by e1     |
      | the log has no further line of the flow             | the log does not show                 |
      | the log has lines of other flows only               | no line mentions 100.64.0.7:1031      |

  Scenario: Other lines in the file are ignored
    Given a log in which the flow is reset because its target was silent
    And the log contains other text, malformed lines and prefixes of a log collector
    When kumquat-ctl explains the flow 100.64.0.7:1031
    Then the explanation says "its target stopped answering"

  Scenario Outline: All failures are counted by cause, including those without a line of their own
    Given a log in which <case>
    When kumquat-ctl explains all failures
    Then the explanation says "<message>"

    Examples:
      | case                                            | message                                    |
      | the flow is reset because its target was silent | 1 x flow reset (target_silent)             |
      | the entry is killed after the flow opened       | 1 x entry terminated without shutting down |
      | lines were omitted                              | 1 x lines were omitted                     |
      | the log has no further line of the flow         | no flow was refused or reset               |

  Scenario: The events of a target are listed in order
    Given a log in which the flow is reset because its target was silent
    When kumquat-ctl explains the target i-7
    Then the explanation says "1 target suspected"

  Scenario Outline: The events of one second are listed
    Given a log in which the flow is reset because its target was silent
    When kumquat-ctl explains the second <second>
    Then the explanation says "<message>"

    Examples:
      | second | message                          |
      | 12     | 1 target suspected, 1 flow reset |
      | 12.7   | 1 target suspected, 1 flow reset |
      | 11     | no line falls within second 11   |

  Scenario Outline: An invalid second is refused with the allowed values
    Given a log in which the flow is reset because its target was silent
    Then kumquat-ctl refuses the second "<second>", and says "a time as in the log"

    Examples:
      | second |
      | noon   |
      | nan    |
      | inf    |

  Scenario: A missing log file is reported
    When kumquat-ctl explains the log "build/no-such.log"
    Then kumquat-ctl exits with NOT_FOUND and says "No such file"
