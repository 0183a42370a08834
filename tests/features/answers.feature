Feature: A caller gets the whole answer to its own request

  Scenario Outline: An answer that comes at a bad moment
    Given a request policy
    When <moment>
    Then the caller sees only <answers>

    Examples:
      | moment                                                 | answers       |
      | two answers come crossed                               | second, first |
      | an answer comes twice                                  | first, first  |
      | a retransmission comes after the answer                | first, first  |
      | an answer comes after the refusal                      | nothing       |
      | an answer comes after its token was used again         | second        |
      | an answer of the first target comes after a retry      | second        |
      | an answer comes after its message id was used again    | second        |
      | an answer comes after its port and token were reused   | second        |
      | a separate answer of the first target follows a retry  | second        |
      | an answer comes from no exchange                       | nothing       |

  Scenario: Equal message ids of two targets are two messages to the caller
    Given a request policy
    When two targets answer with confirmable messages of the same id
    Then the caller sees two message ids
    And each ACK of the caller reaches the target that waits for it

  Scenario: An answer is shown to the caller as the target worded it
    Given a request policy
    When a target answers with options and payload
    Then the caller sees the same options, payload, token and message id

  Scenario Outline: Blocks of one transfer go to one target
    Given a request policy
    When <option> blocks 0 to 5 of one resource are sent with <method>
    Then all blocks went to one target
    And block 3 of another resource sent with <method> is <fate>

    Examples:
      | option | method | fate    |
      | Block1 | POST   | refused |
      | Block1 | PUT    | sent    |
      | Block2 | GET    | sent    |

  Scenario: A standby knows the target of a transfer
    Given a request policy
    When block 0 of a resource is sent, and a standby takes over
    Then block 1 goes to the same target

  Scenario Outline: A watch lives until it ends
    Given a request policy
    When a caller watches a resource and gets 3 notifications
    And the watch <event>
    Then the next notification <fate>

    Examples:
      | event                            | fate               |
      | goes on                          | reaches the caller |
      | is registered again              | reaches the caller |
      | is taken over by a standby       | reaches the caller |
      | is rejected by the caller        | goes nowhere       |
      | is deregistered                  | goes nowhere       |
      | is silent for its idle time      | goes nowhere       |

  Scenario: A watch whose target is lost ends with a notification
    Given a request policy
    When a caller watches a resource and its target is lost
    Then the caller is told "no target"

  Scenario: A watch takes a slot only until its first answer
    Given a request policy
    When a caller watches a resource and gets 3 notifications
    Then no slot is in use

  Scenario Outline: Empty messages
    Given a request policy
    When <message> comes
    Then the policy decides <decision>

    Examples:
      | message                                  | decision               |
      | a ping of the caller                     | an RST to the caller   |
      | an RST of the caller for a sent request  | an RST to the target   |
      | an RST of the caller for a waiting one   | nothing                |
      | an ACK of the caller for nothing         | nothing                |
      | an ACK of the target                     | an ACK to the caller   |
      | an RST of the target                     | an RST to the caller   |
      | a truncated packet                       | nothing                |
      | a fragment                               | nothing                |
      | a request with unreadable options        | a refusal "4.00"       |
