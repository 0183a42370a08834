Feature: Links and commands in the documentation exist

  Guards against documentation that points to files, make targets or programs which have
  been moved, renamed or removed.

  Scenario: Every linked page exists
    Then every link in the documentation leads to a file

  Scenario: Every command in the README exists
    Then every make target that the README names exists
    And every program that the README names is a script of the package
