Feature: A retired target gets no new flow and keeps its own; a leaving entry breaks none

  Guards against new flows at a target that was retired, and against flows that move or
  break when a target is retired or an entry leaves. This comes about when entries learn
  of the change at different times, packets are lost, or entries fail meanwhile.

  Scenario Outline: A retired target gets no new flow from 3 s on and keeps its own
    Given a retirement site with 300 flows and <network>
    When a target is retired, <propagation>, while new flows open
    Then the retired target gets no new flow from 3 s on
    And the retired target keeps all its flows for 60 s, <meanwhile>

    Examples:
      | network            | propagation                       | meanwhile         |
      | a lossless network | seen by all entries at once       | and nothing fails |
      | a lossless network | seen by entries up to 2 s apart   | and nothing fails |
      | a lossy network    | seen by entries up to 2 s apart   | and nothing fails |
      | a lossless network | seen by one reader only           | and entries fail  |
      | a lossless network | then readmitted and retired again | and nothing fails |

  Scenario: The naive engine breaks flows when a target is retired
    Given a retirement site with 300 flows and the naive engine
    When a target is retired, seen by all entries at once, while new flows open
    Then some flows of the retirement site are broken

  Scenario Outline: A leaving entry breaks no flow
    Given a retirement site with 300 flows and <network>
    When entries of the retirement site leave: <leavers>
    Then the leaving entries are drained within 60 s
    And no flow of the retirement site is broken after <after>

    Examples:
      | network            | leavers                         | after                   |
      | a lossless network | one                             | no further fault        |
      | a lossy network    | one                             | no further fault        |
      | a lossless network | one of each domain in turn      | no further fault        |
      | a lossless network | both of domain b at once        | no further fault        |
      | a lossless network | all nine in turn, each replaced | no further fault        |
      | a lossless network | one                             | a kill of another entry |
