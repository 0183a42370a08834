@real-time
Feature: Every process serves its state on its admin port

  Guards against wrong status codes, against failing pages that show internals or
  stop the process, and against large dumps or readers that leave early and so block
  the process or yield a truncated page that looks complete.

  Scenario Outline: A request for a page is answered
    Given an admin port of a process that is <state>
    When the admin page "<path>" is requested with <method>
    Then the admin response is <status> with "<text>"

    Examples:
      | state     | path      | method | status | text                    |
      | ready     | /ready    | GET    | 200    | ready                   |
      | not ready | /ready    | GET    | 503    | not ready               |
      | ready     | /metrics  | GET    | 200    | kumquatshift_flows 2    |
      | ready     | /versions | GET    | 200    | "service/tills": 7      |
      | ready     | /dump     | GET    | 200    | "name": "e1"            |
      | ready     | /         | GET    | 200    | /dump                   |
      | ready     | /dumb     | GET    | 404    | there are /ready, /dump |
      | ready     | /dump/x   | GET    | 404    | there are /ready, /dump |
      | ready     | /dump     | POST   | 405    |                         |
      | ready     | /ready    | DELETE | 501    |                         |
      | failing   | /dump     | GET    | 500    | the page failed         |
      | failing   | /metrics  | GET    | 500    | the page failed         |
      | failing   | /ready    | GET    | 500    | the page failed         |
      | ready     | /ready    | GET    | 200    | ready                   |

  Scenario: A failing page shows no internals, and the process keeps running
    Given an admin port of a process that is failing
    When the admin page "/dump" is requested with GET
    Then the admin response does not contain "Traceback"
    When the admin page "/" is requested with GET
    Then the admin response is 200 with "/ready"

  Scenario: A large dump is complete, and written in small chunks
    Given an admin port of a process that is large
    When the admin page "/dump" is requested with GET
    Then the admin response is the dump as JSON
    And no chunk of it was larger than 32768 bytes

  Scenario: A dump that breaks off does not look complete
    Given an admin port of a process that is breaking
    When the admin page "/dump" is requested with GET
    Then the admin response breaks off

  Scenario: A reader that disconnects early does no harm
    Given an admin port of a process that is large
    When a reader of the admin page "/dump" disconnects early
    And the admin page "/ready" is requested with GET
    Then the admin response is 200 with "ready"
    And the admin port has logged nothing

  Scenario: An occupied port is reported
    Given an admin port of a process that is ready
    Then a second admin port at its address is refused
