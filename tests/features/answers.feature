Feature: A caller gets the complete answer to its own request

  Guards against answers that reach the wrong caller, or that a caller takes for the
  answer to another request. Tokens, message ids and ports are reused, packets are
  repeated and reordered, and answers arrive after a retry, a refusal or a take-over
  by a standby.

  Scenario Outline: An answer that arrives at an unfavourable moment
    Given a request policy
    When <moment>
    Then the caller receives only <answers>

    Examples:
      | moment                                                        | answers       |
      | two answers arrive in reverse order                           | second, first |
      | an answer arrives twice                                       | first, first  |
      | a retransmission arrives after the answer                     | first, first  |
      | an answer arrives after the refusal                           | nothing       |
      | an answer arrives after its token was reused                  | second        |
      | an answer of the first target arrives after a retry           | second        |
      | an answer arrives after its message id was reused             | second        |
      | an answer arrives after its port and token were reused        | second        |
      | a separate response of the first target arrives after a retry | second        |
      | an answer of an unknown exchange arrives                      | nothing       |

  Scenario: Equal message ids of two targets are mapped to different ones for the caller
    Given a request policy
    When two targets answer with confirmable messages of the same id
    Then the caller receives two message ids
    And each ACK of the caller reaches the target that waits for it

  Scenario: An answer reaches the caller with the options and payload of the target
    Given a request policy
    When a target answers with options and payload
    Then the caller receives the same options, payload, token and message id

  Scenario Outline: All blocks of a transfer go to one target
    Given a request policy
    When <option> blocks 0 to 5 of one resource are sent with <method>
    Then all blocks went to one target
    And block 3 of another resource sent with <method> is <result>

    Examples:
      | option | method | result  |
      | Block1 | POST   | refused |
      | Block1 | PUT    | sent    |
      | Block2 | GET    | sent    |

  Scenario: A standby knows the target of a transfer
    Given a request policy
    When block 0 of a resource is sent, and a standby takes over
    Then block 1 goes to the same target

  Scenario Outline: A watch stays active until it ends
    Given a request policy
    When a caller watches a resource and gets 3 notifications
    And the watch <event>
    Then the next notification <result>

    Examples:
      | event                                    | result             |
      | continues                                | reaches the caller |
      | is registered again                      | reaches the caller |
      | is taken over by a standby               | reaches the caller |
      | is rejected by the caller                | is dropped         |
      | is deregistered                          | is dropped         |
      | has no notification for its idle timeout | is dropped         |

  Scenario: A watch whose target is lost ends with a notification
    Given a request policy
    When a caller watches a resource and its target is lost
    Then the caller receives the text "no target"

  Scenario: A watch occupies a slot only until its first answer
    Given a request policy
    When a caller watches a resource and gets 3 notifications
    Then no slot is in use

  Scenario Outline: Empty messages
    Given a request policy
    When <message> arrives
    Then the policy returns <decision>

    Examples:
      | message                                    | decision             |
      | a ping of the caller                       | an RST to the caller |
      | an RST of the caller for a sent request    | an RST to the target |
      | an RST of the caller for a waiting request | nothing              |
      | an ACK of the caller for no request        | nothing              |
      | an ACK of the target                       | an ACK to the caller |
      | an RST of the target                       | an RST to the caller |
      | a truncated packet                         | nothing              |
      | a fragment                                 | nothing              |
      | a request with unreadable options          | a refusal "4.00"     |
