Feature: Flows stay with their targets while entries fail, leave and join

  The same seeded schedule runs against the naive version (hash and own table)
  and against the engine. Failures come 10 s apart at least, 20 s on average;
  meanwhile targets are admitted and retired, and readers hear of it up to 3 s
  apart. With single failures a quarter are leaves in good order.

  Scenario Outline: Single failures break no flow
    When flows run a schedule of single failures, seed <seed>, <network>
    Then flows broken are 0 with the engine, and more with the naive version

    Examples:
      | seed | network                |
      | 1    | a quiet network        |
      | 2    | a quiet network        |
      | 3    | lost packets           |
      | 4    | reordered packets      |

  Scenario Outline: Failures in pairs 0.5 s apart break at most 1 flow in 1,000
    When flows run a schedule of failures in pairs, seed <seed>, <network>
    Then flows broken are at most 1 in 1,000 with the engine, and more with the naive version

    Examples:
      | seed | network                |
      | 11   | a quiet network        |
      | 12   | lost packets           |
      | 13   | reordered packets      |

  Scenario Outline: Flows with a packet a minute need standbys and copies
    When flows with a packet a minute meet failures in pairs, without <mechanism>
    Then flows broken are <broken>

    Examples:
      | mechanism                | broken           |
      | any mechanism off        | at most 1        |
      | standbys                 | more than 1      |
      | copies in the background | more than 1      |
