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
