Feature: Measures are printed in one form, and a bound that fails is seen

  Scenario Outline: A bound is told and judged
    Given a measure that must be <bound> with the figure <figure>
    Then the measure's bound is "<words>" and it <verdict>

    Examples:
      | bound        | figure | words  | verdict       |
      | at most 3    | 3      | <= 3   | holds         |
      | at most 3    | 3.01   | <= 3   | does not hold |
      | at least 0.5 | 0.5    | >= 0.5 | holds         |
      | at least 0.5 | 0.4    | >= 0.5 | does not hold |
      | exactly 0    | 0      | = 0    | holds         |
      | exactly 0    | 1      | = 0    | does not hold |
      | at most 3    | nan    | <= 3   | does not hold |
      | at least 3   | inf    | >= 3   | does not hold |

  Scenario Outline: The run's verdict shows what happened
    Given a module of measures that <module>
    When the measures are run
    Then the measures end with <status>, telling "<told>"
    And the measures file holds "<file>"

    Examples:
      | module                 | status  | told               | file                           |
      | holds                  | SUCCESS | holds              | {"a": 1, "measure_seconds": 7} |
      | does not hold          | ERROR   | DOES NOT HOLD      | {"a": 9, "measure_seconds": 7} |
      | is not there           | SUCCESS | not run            | {"measure_seconds": 0}         |
      | owes a figure          | ERROR   | no figure for a    | {"b": 1, "measure_seconds": 7} |
      | breaks                 | ERROR   | FAILED m.broken: ValueError: broken | {"measure_seconds": 7} |
      | cannot be imported     | ERROR   | FAILED m: ImportError: broken | {"measure_seconds": 0} |
      | is no number           | ERROR   | nan                | {"measure_seconds": 7}         |
      | takes 301 s            | ERROR   | <= 300             | {"a": 1, "measure_seconds": 301} |
      | reports without bound  | SUCCESS | reported           | {"a": 1, "measure_seconds": 7} |

  Scenario: The registry tolerates a module that is not written yet
    Then a group of measures without a module has no functions

  Scenario: No figure is owed twice
    Then every name of the registry of measures is owed once
