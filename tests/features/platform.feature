@real-time
Feature: The platform's object API and its client agree under faults

  Guards against a platform stand-in that departs from the object API, and against a
  client that misreports a call or misses changes. Calls are refused, lost, delayed or
  garbled, and watches expire, end or hang.

  Scenario Outline: Every call of the API gets its specified answer: <call>
    Given a platform with profile "a" at version 1 and profile "b" removed as version 3
    When the platform gets the call "<call>" with If-Match "<match>" and body "<body>"
    Then the platform answers <code> and is then at version <version>

    Examples:
      | call                         | match | body                          | code | version |
      | GET /v1/objects              | -     | -                             | 200  | 3       |
      | GET /v1/objects?kind=domain  | -     | -                             | 200  | 3       |
      | GET /v1/objects/profile/a    | -     | -                             | 200  | 3       |
      | GET /v1/objects/profile/b    | -     | -                             | 404  | 3       |
      | GET /v1/objects/profile/c    | -     | -                             | 404  | 3       |
      | PUT /v1/objects/profile/a    | 1     | {"body": {}}                  | 200  | 4       |
      | PUT /v1/objects/profile/a    | 0     | {"body": {}}                  | 409  | 3       |
      | PUT /v1/objects/profile/a    | 2     | {"body": {}}                  | 409  | 3       |
      | PUT /v1/objects/profile/b    | 0     | {"body": {}}                  | 200  | 4       |
      | PUT /v1/objects/profile/b    | 3     | {"body": {}}                  | 409  | 3       |
      | PUT /v1/objects/profile/c    | 0     | {"body": {}}                  | 200  | 4       |
      | PUT /v1/objects/profile/c    | -     | {"body": {}}                  | 400  | 3       |
      | PUT /v1/objects/profile/c    | -1    | {"body": {}}                  | 400  | 3       |
      | PUT /v1/objects/profile/c    | 0     | {"body": 5}                   | 400  | 3       |
      | PUT /v1/objects/profile/c    | 0     | {"kind": "domain","body": {}} | 400  | 3       |
      | PUT /v1/objects/profile/c    | 0     | {"body":                      | 400  | 3       |
      | DELETE /v1/objects/profile/a | 1     | -                             | 200  | 4       |
      | DELETE /v1/objects/profile/a | 2     | -                             | 409  | 3       |
      | DELETE /v1/objects/profile/b | 3     | -                             | 404  | 3       |
      | GET /v1/watch?since=x        | -     | -                             | 400  | 3       |
      | GET /v1/vms                  | -     | -                             | 200  | 3       |
      | POST /v1/vms                 | -     | {"items": [{"name": "e1"}]}   | 400  | 3       |
      | POST /faults                 | -     | {"outtage": true}             | 400  | 3       |
      | POST /faults                 | -     | {"latency_s": -1}             | 400  | 3       |
      | GET /v2/objects              | -     | -                             | 404  | 3       |

  Scenario: A recreated object has a new creation version
    Given a platform with profile "a" at version 1 and profile "b" removed as version 3
    When profile "b" is written through the client at version 0
    Then the object read back was created at version 4 and has its operation's id

  Scenario: A watch delivers changes and tombstones in the order of their versions
    Given a platform with profile "a" at version 1 and profile "b" removed as version 3
    When the client watches since version 0 until version 3
    Then the watch delivered "profile/a 1, profile/b 2, profile/b 3 deleted, progress 3"

  Scenario: A watch since a version that is too old is refused as expired
    Given a platform that keeps a history of 1 change, with profile "a" written 4 times
    When the client watches since version 1 until version 4
    Then the watch ended as Expired

  Scenario Outline: Each platform fault gives the client the matching failure: <fault>
    Given a platform with profile "a" at version 1 and profile "b" removed as version 3
    And the platform has the fault <fault>
    When the client tries to <call>
    Then the client reports "<kind>", and the platform is at version <version>

    Examples:
      | fault                 | call              | kind            | version |
      | {"outage": true}      | list all objects  | unavailable     | 3       |
      | {"outage": true}      | write profile "a" | outcome-unknown | 3       |
      | {"lose_answers": 1}   | write profile "a" | outcome-unknown | 4       |
      | {"lose_requests": 1}  | write profile "a" | outcome-unknown | 3       |
      | {"garble_answers": 1} | write profile "a" | outcome-unknown | 4       |
      | {"latency_s": 30}     | list all objects  | timeout         | 3       |
      | {"latency_s": 30}     | write profile "a" | outcome-unknown | 3       |
      | {"stale_versions": 3} | read profile "a"  | not-found       | 3       |
      | {"stale_versions": 1} | write profile "a" | success         | 4       |
      | {"latency_s": 0.05}   | list all objects  | success         | 3       |

  Scenario: A write to a platform that refuses connections has not run
    Given a platform that has stopped listening
    When the client tries to write profile "a"
    Then the client reports "unavailable", and the platform is at version 0

  Scenario Outline: Over TLS the client accepts only certificates that its settings trust: <certificate>
    Given a platform over TLS that presents <certificate>
    When the client that trusts the site's authority tries to write profile "a"
    Then the client reports "<kind>", and the platform is at version <version>

    Examples:
      | certificate                      | kind            | version |
      | a valid certificate              | success         | 1       |
      | an expired certificate           | outcome-unknown | 0       |
      | a certificate of another CA      | outcome-unknown | 0       |
      | a certificate of another address | outcome-unknown | 0       |

  Scenario: Calls are counted by kind, and a waiting watch as one
    Given a platform with profile "a" at version 1 and profile "b" removed as version 3
    When the client watches since version 0 until version 3
    And the client tries to list all objects
    Then the platform counted 1 watch, 1 list and 0 read calls

  Scenario: The list of VMs shows changes after its lag
    Given a platform's list of VMs that lags by 5 s on a paused clock
    When the VM "e1" is posted as leaving
    Then the list shows "e1 live" until 4.9 s and "e1 leaving" from 5.1 s on

  Scenario Outline: A watch is reopened however it ends: <ending>
    Given a continuous watch on a fake platform at version 10
    When the fake platform's watch <ending>
    And <pause> s pass on the watch's clock
    Then the fake platform has seen <lists> lists and the watches <since>

    Examples:
      | ending                        | pause | lists | since  |
      | is kept alive                 | 60    | 1     | 10     |
      | delivers version 12 and ends  | 2     | 1     | 10, 12 |
      | ends                          | 2     | 1     | 10, 10 |
      | stays silent                  | 9     | 1     | 10, 10, 10, 10, 10     |
      | stays silent                  | 12    | 2     | 10, 10, 10, 10, 10, 10 |
      | expires                       | 2     | 2     | 10, 10 |
      | ends and lists are refused    | 2     | 1     | 10, 10 |
      | expires and lists are refused | 9     | many  | 10     |

  Scenario: A watch whose connection has died does not delay a change beyond 2.5 s
    # Of the 3 s within which a change takes effect, peers need the rest.
    Given a continuous watch on a fake platform at version 10
    When the watch's connection dies, and profile "x" is written as version 12
    And 2.5 s pass on the watch's clock
    Then the receiver got these changes: profile/x 12
    And the fake platform has seen 1 lists and the watches 10, 10

  Scenario: A change that a hung watch does not deliver is found by listing
    Given a continuous watch on a fake platform at version 10
    When profile "x" is written as version 12 and all watches hang for 15 s
    Then the receiver got these changes: profile/x 12

  Scenario Outline: A new list deletes only objects that it is newer than
    Given a continuous watch on a fake platform at version 10
    And the receiver knows profile "x" at version <known>
    When the watch expires and the new list holds "<listed>" at version <list>
    And 2 s pass on the watch's clock
    Then the receiver got these changes: <changes>

    Examples:
      | known | listed       | list | changes              |
      | 8     | nothing      | 20   | profile/x 20 deleted |
      | 8     | profile x    | 20   | profile/x 8          |
      | 25    | nothing      | 20   | nothing              |
      | 20    | nothing      | 20   | nothing              |
      | 8     | x unreadable | 20   | nothing              |

  Scenario: A watch that is stopped delivers nothing more
    Given a continuous watch on a fake platform at version 10
    When the watch is stopped while a list is in flight
    Then the receiver got these changes: nothing
    And the clock has no pending calls

  Scenario: Retry delays grow to 2 s and are jittered
    Then the retry delays of 200 clients lie between half and all of 0.2, 0.4, 0.8, 1.6, 2, 2 s

  Scenario: The VM list is fetched every 5 s, and a failed poll changes nothing
    Given a VM poller on a fake platform
    When 12 s pass, the platform is down for 10 s, then up for 6 s
    Then the receiver got 4 lists of VMs, and none from 12 s to 22 s
