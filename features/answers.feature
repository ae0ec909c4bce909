Feature: The caller gets the whole answer, in order

  Scenario: Chunks arrive late, repeatedly and out of order
    # An engine's chunks carry positions. The caller must get each once, in order.
    Given the chunks 1, 0, 0, 3, 2, 1, 4
    When they are reassembled
    Then the text is "0 1 2 3 4 "

  Scenario: Chunks behind a missing one are buffered
    Given the chunks 0, 2, 3
    When they are reassembled
    Then the text is "0 "
    And position 1 is missing

  Scenario Outline: A read of an engine's answer can end at any byte
    # A read can end within a line, a chunk or a chunk's size, and can return many tokens at
    # once. The answer must always be the same, and the connection must be reusable for the
    # next call without leftovers of the previous answer.
    Given an engine that sends its bytes <size> at a time
    When it is asked for two answers
    Then both are whole
    And one connection served both

    Examples:
      | size  |
      | 1     |
      | 7     |
      | 10000 |

  Scenario Outline: An engine's body has an invalid chunked encoding
    # The connection closes within a chunk, or the bytes are no valid chunks. The answer is
    # reported as broken after its complete chunks, and never as a complete one.
    Given an engine that sends <fault>
    When it is asked for an answer
    Then it is broken

    Examples:
      | fault           |
      | half of a body  |
      | no size         |
      | a wrong size    |
      | an endless size |

  Scenario: Bytes follow the end of an answer
    # If the connection were reused, its next caller would read the leftover bytes.
    Given an engine that sends more than a body
    When it is asked for two answers
    Then both are whole
    And each had a connection of its own
