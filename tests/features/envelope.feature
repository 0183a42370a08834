Feature: Messages between entries survive encoding, and anything else is refused

  Guards against fields that are lost or changed by encoding, and against bytes from
  the network that raise an unexpected exception or are read as a valid message.

  Scenario Outline: Any <message> is decoded as it was encoded
    Then 300 generated messages of kind <message> are decoded with their sender

    Examples:
      | message     |
      | Relay       |
      | RecordBatch |
      | Heartbeat   |

  Scenario Outline: Malformed bytes are read or refused with MalformedEnvelopeError: <bytes>
    Then 1000 envelopes consisting of <bytes> are read or refused as malformed

    Examples:
      | bytes                        |
      | random bytes                 |
      | truncated messages           |
      | messages with flipped bits   |
      | messages with unknown fields |

  Scenario Outline: Envelopes that no entry sends are refused: <envelope>
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
