Feature: The pages for newcomers lead somewhere

  Scenario: Every page that is linked is there
    Then every link of the pages leads to a file

  Scenario: Every command of the README is there
    Then every make target that the README names exists
    And every program that the README names is a script of the package
