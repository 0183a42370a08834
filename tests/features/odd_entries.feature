@long
Feature: An object that cannot be read does not hide the others

  Guards against entries that end, or no longer follow the list of targets, because another
  writer has left one object that is nested too deeply, has a number that is too large, a
  port out of range or bytes that are not text. Such an object names no target; the others
  stay in use.

  Scenario Outline: The other targets of a response are read
    When <response> has a target with <odd> between two others
    Then the two others are in use, and the odd one is not

    Examples: a list
      | response | odd                                          |
      | a list   | a service nested 3000 deep                   |
      | a list   | a service nested 100000 deep                 |
      | a list   | a service nested 900 deep                    |
      | a list   | a service nested 40 deep                     |
      | a list   | an unknown field nested 3000 deep            |
      | a list   | objects as service nested 3000 deep          |
      | a list   | bytes that are not UTF-8 as service          |
      | a list   | bytes that are not UTF-8 as zone             |
      | a list   | bytes that are not UTF-8 in an unknown field |
      | a list   | bytes that are not UTF-8 in place of fields  |
      | a list   | half a character as service                  |
      | a list   | a number of 5000 digits as maxConcurrency    |
      | a list   | a number of 400 digits as maxConcurrency     |
      | a list   | the number 1e999 as maxConcurrency           |
      | a list   | a number of 400 digits as born               |
      | a list   | the number 1e999 as warmupLeftMs             |
      | a list   | a number of 5000 digits in an unknown field  |
      | a list   | port 65536                                   |
      | a list   | port 0                                       |
      | a list   | port -1                                      |
      | a list   | port 99999999999999999999                    |
      | a list   | a port of 5000 digits                        |

    Examples: a watch
      | response | odd                                          |
      | a watch  | a service nested 3000 deep                   |
      | a watch  | a service nested 900 deep                    |
      | a watch  | bytes that are not UTF-8 as service          |
      | a watch  | a number of 5000 digits as maxConcurrency    |
      | a watch  | the number 1e999 as maxConcurrency           |
      | a watch  | port 65536                                   |

  Scenario Outline: Changes arrive in time while an odd object stands in the list
    Given a store with 60 objects and a bound of 3 s for changes
    And a domain of <count> entries that has been running for 8 s
    When another writer leaves <odd> among the objects
    And an object changes 1 s later
    Then every entry that reaches the store has it within 3.0 s
    When 3 more entries start
    Then within 4 s the new entries have the objects that can be read

    Examples:
      | count | odd                        |
      | 3     | a list nested 3000 deep    |
      | 12    | a list nested 3000 deep    |
      | 12    | a list nested 985 deep     |
      | 12    | a list nested 960 deep     |
      | 3     | bytes that are not UTF-8   |
      | 12    | bytes that are not UTF-8   |
      | 12    | a number of 5000 digits    |

  Scenario Outline: On the own interface the other objects of a response are read
    When the own platform <sends> a target with <odd> between two others
    Then the two others are decoded, and the odd one is skipped

    Examples:
      | sends           | odd                                 |
      | lists           | a service nested 3000 deep          |
      | lists           | a kind nested 10 deep               |
      | lists           | bytes that are not UTF-8 as service |
      | lists           | a number of 400 digits as slots     |
      | lists           | a number of 5000 digits as slots    |
      | lists           | port 65536                          |
      | lists           | a list in its place                 |
      | reports changes | a service nested 3000 deep          |
      | reports changes | a kind nested 10 deep               |
      | reports changes | bytes that are not UTF-8 as service |
      | reports changes | a number of 5000 digits as slots    |
      | reports changes | a list in its place                 |

  Scenario: On the own interface a number beyond all floats is not allowed
    When a profile has a time-out of 400 digits
    Then the profile is refused with the field and the range

  Scenario Outline: A message between entries that cannot be read is counted
    When the datagram of <message> arrives
    Then the message counts as malformed, and the next one is read

    Examples:
      | message                            |
      | a list nested 3000 deep            |
      | a heartbeat with an infinite count |
      | a number                           |

  Scenario: A peer update that is nested too deeply is unreadable
    When a follower decodes an update with a value nested 3000 deep
    Then the update is unreadable
