Feature: A retired target gets no new flow and keeps its own; a leaver cuts nothing

  Scenario Outline: No new flow from 3 s on, and its flows stay to their end
    Given retiring at a site with 300 flows, <network>
    When retiring of a target is <heard>, while new flows come
    Then retiring leaves it no new flow from 3 s on
    And retiring keeps all its flows for 60 s, <meanwhile>

    Examples:
      | network         | heard                       | meanwhile             |
      | a quiet network | heard at once               | and nothing fails     |
      | a quiet network | heard up to 2 s apart       | and nothing fails     |
      | lost packets    | heard up to 2 s apart       | and nothing fails     |
      | a quiet network | heard by one reader         | and entries fail      |
      | a quiet network | taken back, and given again | and nothing fails     |

  Scenario: The naive version moves the flows of a retired target's fellows
    Given retiring at a site with 300 flows, with the naive version
    When retiring of a target is heard at once, while new flows come
    Then retiring breaks flows with the naive version

  Scenario Outline: An entry that leaves cuts nothing
    Given retiring at a site with 300 flows, <network>
    When retiring entries leave: <leavers>
    Then retiring entries are drained within 60 s
    And retiring has broken no flow, also after <after>

    Examples:
      | network         | leavers                        | after                     |
      | a quiet network | one                            | nothing                   |
      | lost packets    | one                            | nothing                   |
      | a quiet network | one of each domain in turn     | nothing                   |
      | a quiet network | both of domain b at once       | nothing                   |
      | a quiet network | all nine in turn, each replaced | nothing                  |
      | a quiet network | one                            | a kill when it is gone    |
