Feature: Measures print uniformly, and a missed bound fails the run

  Guards against a measure run that passes although a figure misses its bound, is missing
  or is no number, or a measure fails or takes too long.

  Scenario Outline: A bound is printed and checked
    Given a measure that must be <bound> with the figure <figure>
    Then the measure's bound prints as "<text>" and <verdict>

    Examples:
      | bound        | figure | text   | verdict       |
      | at most 3    | 3      | <= 3   | holds         |
      | at most 3    | 3.01   | <= 3   | does not hold |
      | at least 0.5 | 0.5    | >= 0.5 | holds         |
      | at least 0.5 | 0.4    | >= 0.5 | does not hold |
      | exactly 0    | 0      | = 0    | holds         |
      | exactly 0    | 1      | = 0    | does not hold |
      | at most 3    | nan    | <= 3   | does not hold |
      | at least 3   | inf    | >= 3   | does not hold |

  Scenario Outline: Exit status, output and file show the result of the run
    Given a module of measures that <module>
    When the measures are run
    Then the measure run exits with <status> and prints "<output>"
    And the measures file has the values "<file>"

    Examples:
      | module                | status  | output                              | file                             |
      | holds                 | SUCCESS | holds                               | {"a": 1, "measure_seconds": 7}   |
      | does not hold         | ERROR   | DOES NOT HOLD                       | {"a": 9, "measure_seconds": 7}   |
      | does not exist        | SUCCESS | not run                             | {"measure_seconds": 0}           |
      | omits a figure        | ERROR   | no figure for a                     | {"b": 1, "measure_seconds": 7}   |
      | raises an error       | ERROR   | FAILED m.broken: ValueError: broken | {"measure_seconds": 7}           |
      | cannot be imported    | ERROR   | FAILED m: ImportError: broken       | {"measure_seconds": 0}           |
      | gives no number       | ERROR   | nan                                 | {"measure_seconds": 7}           |
      | takes 301 s           | ERROR   | <= 300                              | {"a": 1, "measure_seconds": 301} |
      | reports without bound | SUCCESS | reported                            | {"a": 1, "measure_seconds": 7}   |

  Scenario: The registry tolerates a missing module
    Then a group of measures without a module has no functions

  Scenario: No figure is registered twice
    Then every figure name occurs once in the registry of measures
