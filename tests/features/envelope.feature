Feature: Messages between entries survive the wire, and nothing else is read

  Scenario Outline: Any <message> comes back as it was sent
    Then 300 generated messages of kind <message> come back with their sender

    Examples:
      | message     |
      | Relay       |
      | RecordBatch |
      | Heartbeat   |

  Scenario Outline: Bytes that are no envelope are refused with one error: <bytes>
    Then 1000 envelopes made of <bytes> are read or refused as malformed

    Examples:
      | bytes                    |
      | random bytes             |
      | messages cut short       |
      | messages with flipped bits |
      | messages of later fields |

  Scenario Outline: What no entry says is refused: <envelope>
    Then the envelope of <envelope> is refused as malformed

    Examples:
      | envelope                      |
      | nothing at all                |
      | a sender and no body          |
      | an unknown direction          |
      | an unknown state              |
      | columns of different length   |
      | a target index out of range   |
      | a negative birth              |
      | a birth out of range          |
