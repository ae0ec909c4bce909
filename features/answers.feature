Feature: The caller gets the whole answer, in order

  Scenario: Chunks come late, repeated and out of order
    # An engine's chunks carry positions; the caller must see each once, in order.
    Given the chunks 1, 0, 0, 3, 2, 1, 4
    When they are reassembled
    Then the text is "0 1 2 3 4 "

  Scenario: A missing chunk holds back what follows
    Given the chunks 0, 2, 3
    When they are reassembled
    Then the text is "0 "
    And position 1 is missing

  Scenario Outline: An engine's bytes come cut at any place
    # A read of the connection can end within a line, a chunk or a chunk's size, and can
    # bring many tokens at once. Whatever the cuts, the answer is the same, and its
    # connection serves the next call, which sees nothing of the answer before.
    Given an engine that sends its bytes <size> at a time
    When it is asked for two answers
    Then both are whole
    And one connection served both

    Examples:
      | size  |
      | 1     |
      | 7     |
      | 10000 |

  Scenario Outline: An engine's body is not what it must be
    # The connection closes within a chunk, or the bytes are no chunks: the answer is
    # broken after what came whole, and never taken for a whole one.
    Given an engine that sends <fault>
    When it is asked for an answer
    Then it is broken

    Examples:
      | fault           |
      | half of a body  |
      | no size         |
      | a wrong size    |
      | an endless size |

  Scenario: Bytes after an answer's end
    # Were the connection used again, its next caller would read what is left over.
    Given an engine that sends more than a body
    When it is asked for two answers
    Then both are whole
    And each had a connection of its own
