@real-time @long
Feature: Operators control a site with kumquat-ctl

  Guards against commands that are taken for other commands, files that are applied
  in part, writes that overwrite another operator's change, and wrong reports about
  whether a write took effect. These arise from typing errors, invalid files, races
  between operators, lost answers, stale reads, outages and interrupts.

  Scenario Outline: A command that fire would accept by mistake is refused: <line>
    Given a site with the demo's objects
    When kumquat-ctl runs "<line>"
    Then kumquat-ctl exits with USAGE and the error says "<text>"
    And the platform is unchanged

    Examples:
      | line                              | text                                   |
      | target retire t1 --wiat 5         | Could not consume arg: --wiat          |
      | target retire t1 t2               | Could not consume arg: 't2'            |
      | target retire                     | no value for the required argument     |
      | target retire t1 --wait           | --wait: missing value                  |
      | target retire t1 --wait soon      | --wait: found 'soon'; allowed: seconds |
      | target retire t1 --wait=-1        | --wait: found '-1'; allowed: seconds   |
      | target retire t1 --wait nan       | --wait: found 'nan'; allowed: seconds  |
      | target retire t1 --json=maybe     | --json: found 'maybe'                  |
      | target retire t1 -- --interactive | --: not supported                      |
      | target retire t1 list             | Could not consume arg: list            |
      | target retire --name              | --name: missing value                  |
      | target retyre t1                  | Could not consume arg: 'retyre'        |
      | target                            | target: a command is missing           |
      | tarket retire t1                  | Could not consume arg: 'tarket'        |
      | domain retire north-a             | Could not consume arg: retire          |
      | --settings                        | --settings: missing value              |

  Scenario Outline: Help texts and lists are printed: <line>
    Given a site with the demo's objects
    When kumquat-ctl runs "<line>"
    Then kumquat-ctl exits with SUCCESS and the output says "<text>"

    Examples:
      | line                  | text                                         |
      | --help                | Failure domains, which operators take out    |
      | domain --help         | Take a domain out                            |
      | domain out --help     | seconds to wait until the change is in force |
      | profile list          | till-feed                                    |
      | service list          | 127.0.9.1                                    |
      | target list           | 127.0.2.11                                   |
      | domain list --json    | "north-d"                                    |
      | target show t1        | service = tills                              |
      | target show t1 --json | "service": "tills"                           |
      | profile show 1_000    | idle_timeout_s = 600                         |

  Scenario Outline: An unknown name has its own exit status: <line>
    Given a site with the demo's objects
    When kumquat-ctl runs "<line>"
    Then kumquat-ctl exits with <status> and the error says "<text>"
    And the platform is unchanged

    Examples:
      | line               | status    | text                                         |
      | target retire t99  | NOT_FOUND | target/t99 does not exist                    |
      | domain out north-e | NOT_FOUND | list the names with: kumquat-ctl domain list |
      | profile show gone  | NOT_FOUND | it was removed as version                    |
      | profile remove web | REFUSED   | referenced by service/web                    |
      | dump e9            | NOT_FOUND | no entry 'e9' is listed                      |
      | apply no/such/file | USAGE     | No such file                                 |

  Scenario Outline: A file with a mistake writes nothing: <mistake>
    Given a site with the demo's objects
    And a file with a valid new profile and then <mistake>
    When the operator applies the file
    Then kumquat-ctl exits with USAGE and the error says "<text>"
    And the platform is unchanged

    Examples:
      | mistake                                | text                                                    |
      | [target t1] slots = many               | target/t1: slots: found 'many'; allowed: a whole number |
      | [target new] service = tills           | target/new: domain: found nothing                       |
      | [target new] service = tils            | target/new: host: found nothing                         |
      | [tarket t1] slots = 1                  | did you mean 'target'?                                  |
      | [target] slots = 1                     | write [KIND NAME]                                       |
      | [domain north-e] state = away          | domain/north-e: state: found 'away'; allowed: in, out   |
      | [service web] prot = 1                 | service/web: prot: found '1'; no such field             |
      | [profile slow] request_timeout_s = inf | profile/slow: request_timeout_s: found inf              |
      | [domain north-a] version = 0           | domain/north-a: version: found 0                        |
      | [profile good] mode = stream           | already exists                                          |
      | [domain north-a] state in              | contains parsing errors                                 |
      | nonsense                               | file                                                    |

  Scenario: A file that refers to an unknown object writes nothing
    Given a site with the demo's objects
    And a file with a valid new profile and then a target of service "till"
    When the operator applies the file
    Then kumquat-ctl exits with USAGE and the error says "did you mean 'tills'?"
    And the platform is unchanged

  Scenario: Apply, diff and dry run
    Given an empty site
    When kumquat-ctl runs "apply extras/demo/objects.ini --dry-run"
    Then kumquat-ctl exits with SUCCESS and the output says "would be created target/t1"
    And the platform is unchanged
    When kumquat-ctl runs "apply extras/demo/objects.ini"
    Then kumquat-ctl exits with SUCCESS and the platform holds 23 objects
    When kumquat-ctl runs "diff extras/demo/objects.ini"
    Then kumquat-ctl exits with SUCCESS and the output says "no differences"
    When kumquat-ctl runs "apply extras/demo/objects.ini"
    Then kumquat-ctl exits with SUCCESS and the platform is at version 23

  Scenario: Applying a file again does not bring back what operators took out
    Given a site with the demo's objects
    When kumquat-ctl runs "target retire t1"
    And kumquat-ctl runs "domain out north-b"
    And kumquat-ctl runs "apply extras/demo/objects.ini"
    Then target "t1" is retired and domain "north-b" is out
    When kumquat-ctl runs "target admit t1"
    And kumquat-ctl runs "domain in north-b"
    Then target "t1" is admitted and domain "north-b" is in

  Scenario Outline: A note is printed if a change leaves a service without targets: <line>
    Given a site with the demo's objects
    When bert runs "target retire w1"
    And kumquat-ctl runs "<line>"
    Then kumquat-ctl exits with SUCCESS and the notes are "<notes>"

    Examples:
      | line                           | notes                                        |
      | domain out north-b             | service/web has no target in service any more |
      | domain out north-b --dry-run   | service/web has no target in service any more |
      | target remove w2               | service/web has no target in service any more |
      | domain out north-a             | none                                         |
      | target retire w1               | none                                         |

  Scenario: The output of show can be edited and applied, but not over another operator's change
    Given a site with the demo's objects
    When target "t1" is shown and edited, another operator sets its slots to 5, and it is applied
    Then kumquat-ctl exits with CONFLICT and the error says "slots: 5 -> 3"
    And target "t1" has 5 slots
    When target "t1" is shown, edited and applied
    Then kumquat-ctl exits with SUCCESS
    And target "t1" has 3 slots

  Scenario Outline: Two operators race, <order>: <anna> / <bert>
    Given a site with the demo's objects
    When anna runs "<anna>" and bert runs "<bert>" in the order <order>
    Then anna's command exits with <anna's> and bert's with <bert's>
    And the result is "<result>", and the error of the refused operator says "<text>"

    Examples: One changes the state, one the slots
      | anna             | bert                 | order   | anna's   | bert's   | result        | text                       |
      | target retire t1 | set slots of t1 to 5 | a a b b | SUCCESS  | SUCCESS  | t1 retired 5  | -                          |
      | target retire t1 | set slots of t1 to 5 | a b a b | SUCCESS  | CONFLICT | t1 retired 2  | state: admitted -> retired |
      | target retire t1 | set slots of t1 to 5 | a b b a | CONFLICT | SUCCESS  | t1 admitted 5 | slots: 2 -> 5              |
      | target retire t1 | set slots of t1 to 5 | b a a b | SUCCESS  | CONFLICT | t1 retired 2  | state: admitted -> retired |
      | target retire t1 | set slots of t1 to 5 | b a b a | CONFLICT | SUCCESS  | t1 admitted 5 | slots: 2 -> 5              |
      | target retire t1 | set slots of t1 to 5 | b b a a | SUCCESS  | SUCCESS  | t1 retired 5  | -                          |

    Examples: One removes what the other changes
      | anna             | bert             | order   | anna's   | bert's    | result       | text                       |
      | target remove t1 | target retire t1 | a a b b | SUCCESS  | NOT_FOUND | t1 removed   | does not exist             |
      | target remove t1 | target retire t1 | a b a b | SUCCESS  | CONFLICT  | t1 removed   | it was removed by another  |
      | target remove t1 | target retire t1 | a b b a | CONFLICT | SUCCESS   | t1 retired 2 | state: admitted -> retired |
      | target remove t1 | target retire t1 | b a a b | SUCCESS  | CONFLICT  | t1 removed   | it was removed by another  |
      | target remove t1 | target retire t1 | b a b a | CONFLICT | SUCCESS   | t1 retired 2 | state: admitted -> retired |
      | target remove t1 | target retire t1 | b b a a | SUCCESS  | SUCCESS   | t1 removed   | -                          |

    Examples: Both create, or both remove
      | anna              | bert              | order   | anna's   | bert's   | result         | text                      |
      | create t50 with 3 | create t50 with 4 | a b a b | SUCCESS  | CONFLICT | t50 admitted 3 | slots = 3                 |
      | create t50 with 3 | create t50 with 4 | a b b a | CONFLICT | SUCCESS  | t50 admitted 4 | slots = 4                 |
      | create t50 with 3 | create t50 with 4 | a a b b | SUCCESS  | SUCCESS  | t50 admitted 4 | -                         |
      | target remove t1  | target remove t1  | a b a b | SUCCESS  | CONFLICT | t1 removed     | it was removed by another |
      | target remove t1  | target remove t1  | a b b a | CONFLICT | SUCCESS  | t1 removed     | it was removed by another |

  Scenario Outline: After a lost answer the outcome is reported: <fault> on <line>
    Given a site with the demo's objects
    And the platform has the fault <fault>
    When kumquat-ctl runs "<line>"
    Then kumquat-ctl exits with <status> and one write took effect
    And the output says "<text>"

    Examples:
      | fault                                     | line             | status  | text               |
      | {"lose_answers": 1}                       | target retire t1 | SUCCESS | an answer was lost |
      | {"lose_requests": 1}                      | target retire t1 | SUCCESS | an answer was lost |
      | {"lose_answers": 1}                       | target remove t1 | SUCCESS | an answer was lost |
      | {"lose_requests": 1}                      | target remove t1 | SUCCESS | an answer was lost |
      | {"garble_answers": 1}                     | target retire t1 | SUCCESS | an answer was lost |
      | {"garble_answers": 1}                     | target remove t1 | SUCCESS | an answer was lost |
      | {"lose_requests": 2, "lose_answers": 1}   | target retire t1 | SUCCESS | an answer was lost |
      | {"lose_requests": 1, "stale_versions": 1} | target retire t1 | SUCCESS | an answer was lost |
      | {"lose_answers": 1, "stale_versions": 2}  | target retire t1 | SUCCESS | an answer was lost |

  Scenario Outline: A stale read ends in a conflict, never in an overwrite or a false success
    Given a site with the demo's objects
    When bert runs "<bert>"
    And the platform's reads are 1 version stale
    And kumquat-ctl runs "<line>"
    Then kumquat-ctl exits with CONFLICT and the error says "<text>"

    Examples:
      | bert               | line              | text                       |
      | domain out north-b | domain in north-b | state: in -> out           |
      | target retire t1   | target admit t1   | state: admitted -> retired |
      | target retire t1   | target remove t1  | state: admitted -> retired |
      | target remove t1   | target retire t1  | it was removed by another  |

  Scenario: A change that is already in force is confirmed by a write
    Given a site with the demo's objects
    When kumquat-ctl runs "domain in north-b"
    Then kumquat-ctl exits with SUCCESS and one write took effect
    And the output says "confirmed domain/north-b"

  Scenario Outline: A lost write is distinguished from another operator's change: <effect>
    Given a site with the demo's objects
    When anna's write of t1 loses its answer <effect> taking effect and bert retires t1
    Then kumquat-ctl exits with CONFLICT and the error says "<text>"
    And t1 is retired and has <slots> slots

    Examples:
      | effect | text                                 | slots |
      | after  | your write took effect before it, as | 5     |
      | before | your write did not take effect       | 2     |

  Scenario: After an outage during a write, the error says how to check the outcome
    Given a site with the demo's objects
    When anna's write of t1 loses its answer and an outage of the platform begins
    Then kumquat-ctl exits with ERROR and the error says "whether the write took effect is unknown"
    And the error names the operation that the platform has recorded

  Scenario Outline: Nothing is written during an outage of the platform: <line>
    Given a site with the demo's objects
    And the platform has the fault {"outage": true}
    When kumquat-ctl runs "<line>"
    Then kumquat-ctl exits with UNAVAILABLE and the error says "the platform answered 503"
    And the platform is unchanged

    Examples:
      | line                          |
      | target retire t1              |
      | apply extras/demo/objects.ini |
      | service list                  |
      | status                        |

  Scenario: After a failure midway the error lists the written and the unwritten objects
    Given an empty site
    When an outage of the platform begins after 5 writes of "apply extras/demo/objects.ini"
    Then the error names 5 written objects, 1 uncertain and 17 unwritten
    And kumquat-ctl exits with ERROR
    When the outage ends and kumquat-ctl runs "apply extras/demo/objects.ini"
    Then kumquat-ctl exits with SUCCESS and the platform holds 23 objects

  Scenario Outline: Waiting ends when the change is in force at all reachable entries: <entries>
    Given a site with the demo's objects and the entries <entries>
    When kumquat-ctl runs "target retire t1 --wait <limit>"
    Then kumquat-ctl exits with <status> and the output says "<text>"

    Examples:
      | entries          | limit | status      | text                           |
      | follows, follows | 5     | SUCCESS     | in force at 2 entries          |
      | follows, down    | 5     | SUCCESS     | out of reach: e2               |
      | follows, stuck   | 0.6   | TIMEOUT     | not in force: e2 holds version |
      | stuck, down      | 0.6   | TIMEOUT     | out of reach: e2               |
      | down, down       | 5     | UNAVAILABLE | no entry is reachable          |
      | follows, silent  | 0.6   | SUCCESS     | out of reach: e2               |

  Scenario: Waiting for a change that is already in force
    Given a site with the demo's objects and the entries follows, follows
    When kumquat-ctl runs "wait 5"
    Then kumquat-ctl exits with SUCCESS and the output says "in force at 2 entries"

  Scenario: The status shows domains, entries, targets, shares and entries that are late
    Given a site with the demo's objects and the entries follows, stuck, down
    When kumquat-ctl runs "target retire t1"
    And kumquat-ctl runs "status"
    Then kumquat-ctl exits with SUCCESS and the output says "late: e2 holds version"
    And the output has the row "north-a in 1 1 4 4"
    And the output has the row "north-c in 1 0 3 0"
    And the output has the row "e1 north-a 127.11.1.1 live 9 4 0"
    And the output has the row "e3 north-c 127.11.1.3 no answer - - -"
    And the output has the row "t1 tills north-a retired 6 60 0.750"
    When kumquat-ctl runs "status --json"
    Then the JSON of the status has 4 domains, 3 entries, 13 targets and 1 late version

  Scenario: The state of an entry is printed as the entry returns it
    Given a site with the demo's objects and the entries follows, follows
    When kumquat-ctl runs "dump e1"
    Then kumquat-ctl exits with SUCCESS and the output says ""incarnation": 1"

  Scenario Outline: Entries that require client certificates accept those of the site: <own>
    Given a site with the demo's objects and an entry that requires client certificates
    When kumquat-ctl with <own> runs "dump e1"
    Then kumquat-ctl exits with <status>

    Examples:
      | own                             | status       |
      | a certificate of the site       | SUCCESS      |
      | another authority's certificate | UNAVAILABLE  |
      | an expired certificate          | BAD_SETTINGS |
      | no certificate                  | UNAVAILABLE  |

  Scenario: During an outage of the platform, the entries in the settings are queried
    Given a site with the demo's objects and the entries follows, follows
    And the platform has the fault {"outage": true}
    When kumquat-ctl runs "status"
    Then kumquat-ctl exits with UNAVAILABLE and the output says "127.11.1.1"

  Scenario Outline: Invalid settings are reported with the allowed values: <line>
    Given an empty site
    When kumquat-ctl runs "domain list" with the settings <line>
    Then kumquat-ctl exits with BAD_SETTINGS and the error says "<text>"

    Examples:
      | line                             | text                              |
      | [platform] ulr = http://10.0.0.1 | did you mean url?                 |
      | [platform] url = 10.0.0.1:8400   | allowed: a URL such as https      |
      | [ctl] admin_port = 0             | allowed: a whole number from 1 to |
      | [peers] e1 = north-a             | allowed: DOMAIN ADDRESS           |
      | [platfrom] url = http://10.0.0.1 | did you mean [platform]?          |

  Scenario Outline: The check command only checks the settings: <line>
    Given an empty site
    When kumquat-ctl checks the settings <line>
    Then kumquat-ctl exits with <status>

    Examples:
      | line                             | status       |
      | [platform] url = http://10.0.0.1 | SUCCESS      |
      | [platform] ulr = http://10.0.0.1 | BAD_SETTINGS |

  Scenario Outline: With invalid settings no command runs: <line>
    When kumquat-ctl without a site runs "<line>"
    Then kumquat-ctl exits with BAD_SETTINGS and the error says "<text>"

    Examples:
      | line                                    | text                         |
      | --settings extras/bench.ini domain list | [bench]: found an unknown    |
      | --platform 10.0.0.1 domain list         | --platform: found '10.0.0.1' |
      | --settings no/such/file domain list     | no/such/file: file: found    |

  Scenario Outline: The program returns its exit status to the shell: <line>
    Given a site with the demo's objects
    When the program is run as a process with "<line>"
    Then the program exits with <status>

    Examples:
      | line             | status |
      | target retire t1 | 0      |
      | target retyre t1 | 2      |
      | target show t99  | 4      |
      | --platform http://127.11.0.1:1 domain list | 6 |

  Scenario: On an interrupt the current write completes, and the written objects are listed
    Given an empty site
    And the platform has the fault {"latency_s": 0.2}
    When the program is interrupted while it applies the demo's objects
    Then the program exits with 130 and lists exactly the objects that the platform holds

  Scenario: An interrupt ends a wait
    Given a site with the demo's objects and the entries follows, stuck
    When the program is interrupted while it waits for 60 s
    Then the program exits with 130
    And the output says "not in force: e2 holds version"

  Scenario: Every command in the operators' documentation is valid
    Then each command of docs/OPERATORS.md is parsed

  Scenario: The operators' documentation lists every exit status
    Then docs/OPERATORS.md lists each exit status with its number
