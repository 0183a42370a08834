Feature: Every process shows its state on its admin port

  Scenario Outline: A page is answered
    Given an admin port of a process that is <state>
    When the admin page "<path>" is asked for with <method>
    Then the admin answer is <status> with "<told>"

    Examples:
      | state     | path      | method | status | told                        |
      | ready     | /ready    | GET    | 200    | ready                       |
      | not ready | /ready    | GET    | 503    | not ready                   |
      | ready     | /metrics  | GET    | 200    | kumquatshift_flows 2             |
      | ready     | /versions | GET    | 200    | "service/tills": 7          |
      | ready     | /dump     | GET    | 200    | "name": "e1"                |
      | ready     | /         | GET    | 200    | /dump                       |
      | ready     | /dumb     | GET    | 404    | there are /ready, /dump     |
      | ready     | /dump/x   | GET    | 404    | there are /ready, /dump     |
      | ready     | /dump     | POST   | 405    |                             |
      | ready     | /ready    | DELETE | 501    |                             |
      | failing   | /dump     | GET    | 500    | the page failed             |
      | failing   | /metrics  | GET    | 500    | the page failed             |
      | failing   | /ready    | GET    | 500    | the page failed             |
      | ready     | /ready    | GET    | 200    | ready                       |

  Scenario: A failing page shows nothing of the process and leaves it going
    Given an admin port of a process that is failing
    When the admin page "/dump" is asked for with GET
    Then the admin answer does not have "Traceback"
    When the admin page "/" is asked for with GET
    Then the admin answer is 200 with "/ready"

  Scenario: A large dump is whole, and written in small pieces
    Given an admin port of a process that is large
    When the admin page "/dump" is asked for with GET
    Then the admin answer is the dump as JSON
    And no piece of it was larger than 32768 bytes

  Scenario: A dump that breaks off does not look whole
    Given an admin port of a process that is breaking
    When the admin page "/dump" is asked for with GET
    Then the admin answer breaks off

  Scenario: A reader that leaves in the middle does no harm
    Given an admin port of a process that is large
    When a reader of the admin page "/dump" leaves in the middle
    And the admin page "/ready" is asked for with GET
    Then the admin answer is 200 with "ready"
    And the admin port has logged nothing

  Scenario: A port that is taken is told
    Given an admin port of a process that is ready
    Then a second admin port at its address is refused
