Feature: Answers with neither a length nor chunks end with their connection

  @each.installation
  Scenario Outline: A <request> whose answer <end> gets <status>
    # Guards against a broken plain answer that looks whole, or a whole one that is lost.
    Given a second endpoint "stock-2" of "stock"
    When a caller sends a <request> whose answer <end>
    Then it gets <status> after <sends> sends, and a whole answer of one endpoint
    And its connection serves 5 more lookups, each with one send

    Examples:
      | request | end                                          | status | sends |
      | lookup  | is unframed and ends in order                | 200    | 1     |
      | lookup  | is unframed and comes in one packet          | 200    | 1     |
      | lookup  | is unframed and is reset after its last byte | 200    | 2     |
      | lookup  | is unframed and is reset in its middle       | 200    | 2     |
      | order   | is unframed and ends in order                | 200    | 1     |
      | order   | is unframed and comes in one packet          | 200    | 1     |
      | order   | is unframed and is reset after its last byte | 502    | 1     |
      | order   | is unframed and is reset in its middle       | 502    | 1     |

  @each.installation
  Scenario Outline: A draft whose answer <end> is whole after <sends> sends
    # Guards against a stream that was broken off and looks complete.
    Given a second endpoint "engine-2" of "engines"
    When a caller sends a draft whose answer <end>
    Then it gets the events 1 to 5 after <sends> sends
    And its connection serves 5 more lookups, each with one send

    Examples:
      | end                                          | sends |
      | is unframed and ends in order                | 1     |
      | is unframed and comes in one packet          | 1     |
      | is unframed and ends inside its third event  | 2     |
      | is unframed and ends after its head          | 2     |
      | is unframed and is reset after its last byte | 2     |
      | is unframed and is reset in its middle       | 2     |

  @each.installation
  Scenario: A draft that no endpoint ends between two events is reset
    # Guards against a broken stream that looks complete once no further send is allowed.
    When the endpoints of "engines" answer the next 9 drafts with the fault "UNFRAMED_INSIDE"
    Then the answer is aborted

  @each.installation
  Scenario: An unframed draft that ends in order between two events can't be told from a whole one
    When a caller sends a draft whose answer is unframed and ends after its second event
    Then it gets the events 1 to 2 after 1 sends

  @each.installation
  Scenario: A caller that has all events gets an empty rest
    # Guards against a rest without events that is taken for an answer that was broken off.
    When a caller that has event 5 sends a draft whose answer is unframed and ends after its head
    Then it gets the events 6 to 5 after 1 sends

  @each.installation
  Scenario Outline: A <request> whose answer <end> gets <seen>
    # Guards against an answer without a whole head that callers get as a whole one.
    Given a second endpoint "stock-2" of "stock"
    And a second endpoint "engine-2" of "engines"
    When a caller sends a <request> whose answer <end>
    Then it gets <seen>
    And its connection serves 5 more lookups, each with one send

    Examples:
      | request | end                                         | seen                                                  |
      | lookup  | ends inside its status line                 | 200 after 2 sends, and a whole answer of one endpoint |
      | lookup  | ends inside a header                        | 200 after 2 sends, and a whole answer of one endpoint |
      | lookup  | ends before the last empty line of its head | 200 after 2 sends, and a whole answer of one endpoint |
      | lookup  | ends inside its head, after an interim one  | 200 after 2 sends, and a whole answer of one endpoint |
      | order   | ends inside its status line                 | 502 after 1 sends, and a whole answer of one endpoint |
      | order   | ends inside a header                        | 502 after 1 sends, and a whole answer of one endpoint |
      | order   | ends before the last empty line of its head | 502 after 1 sends, and a whole answer of one endpoint |
      | order   | ends inside its head, after an interim one  | 502 after 1 sends, and a whole answer of one endpoint |
      | draft   | ends inside its status line                 | the events 1 to 5 after 2 sends                       |
      | draft   | ends inside a header                        | the events 1 to 5 after 2 sends                       |
      | draft   | ends before the last empty line of its head | the events 1 to 5 after 2 sends                       |
      | draft   | ends inside its head, after an interim one  | the events 1 to 5 after 2 sends                       |

  @fixture.cuttable_hosts
  Scenario Outline: Through a helper, a <request> whose answer <end> gets <seen>
    # Guards against a relay that makes a broken answer look whole, or loses a whole one.
    Given host 0 reaches endpoints through helpers only
    When a caller sends a <request> whose answer <end>
    Then it gets <seen>
    And its connection serves 5 more lookups, each with one send

    Examples:
      | request | end                                          | seen                                                     |
      | lookup  | is unframed and ends in order                | 200 after 1 sends, and a whole answer of one endpoint    |
      | lookup  | is unframed and comes in one packet          | 200 after 1 sends, and a whole answer of one endpoint    |
      | lookup  | is unframed and is reset after its last byte | 200 after 2 sends, and a whole answer of one endpoint    |
      | order   | is unframed and ends in order                | 200 after 1 sends, and a whole answer of one endpoint    |
      | order   | is unframed and is reset after its last byte | 502 after 1 sends, and a whole answer of one endpoint    |
      | draft   | is unframed and ends in order                | the events 1 to 5 after 1 sends                          |
      | draft   | is unframed and ends inside its third event  | the events 1 to 5 after 2 sends                          |
      | draft   | is unframed and is reset in its middle       | the events 1 to 5 after 2 sends                          |
      | lookup  | ends inside a header                         | 200 after 2 sends, and a whole answer of one endpoint    |
      | lookup  | ends before the last empty line of its head  | 200 after 2 sends, and a whole answer of one endpoint    |
      | order   | ends inside a header                         | 502 after 1 sends, and a whole answer of one endpoint    |
      | order   | ends before the last empty line of its head  | 502 after 1 sends, and a whole answer of one endpoint    |
      | draft   | ends inside a header                         | the events 1 to 5 after 2 sends                          |
      | draft   | ends before the last empty line of its head  | the events 1 to 5 after 2 sends                          |

  @fixture.cuttable_hosts
  Scenario Outline: An unframed <kind> whose helper is <end> <seen>
    # Guards against a helper whose end looks like the end of an answer.
    Given an unframed <kind> that host 0 serves through a helper, of long intervals
    When its helper is <end>
    Then the caller <seen>

    Examples:
      | kind  | end                | seen                                     |
      | draft | killed             | gets all events of the draft in order    |
      | order | killed             | gets 502, and the order ran once         |
      | draft | stopped as planned | gets all events of the draft in order    |
      | order | stopped as planned | gets the whole answer, and the order ran once |

  @each.installation
  Scenario Outline: A <request> whose answer <end> gets <seen>
    # Guards against callers held until their deadline by bytes that never become an answer.
    Given a second endpoint "<second>" of "<service>"
    When a caller sends a <request> whose answer <end>
    Then it gets <seen>
    And its connection serves 5 more lookups, each with one send

    Examples:
      | request | service | second   | end                             | seen                                                  |
      | lookup  | stock   | stock-2  | goes on without end             | 200 after 2 sends, and a whole answer of one endpoint |
      | lookup  | stock   | stock-2  | trickles without end            | 200 after 2 sends, and a whole answer of one endpoint |
      | order   | stock   | stock-2  | goes on without end             | 502 after 1 sends, and a whole answer of one endpoint |
      | draft   | engines | engine-2 | goes on without end             | the events 1 to 5 after 2 sends                       |
      | draft   | engines | engine-2 | trickles without end            | the events 1 to 5 after 2 sends                       |
      | draft   | engines | engine-2 | begins and goes on without end  | the events 1 to 5 after 2 sends                       |
      | draft   | engines | engine-2 | begins and trickles without end | the events 1 to 5 after 2 sends                       |

  @fixture.cuttable_hosts
  Scenario Outline: Through a helper, a <request> whose answer <end> comes from another endpoint
    # Guards against bytes without end that a helper passes on or keeps for ever.
    Given host 0 reaches endpoints through helpers only
    When a caller sends a <request> whose answer <end>
    Then it gets <seen>
    And no endpoint goes on with an answer

    Examples:
      | request | end                             | seen                                                  |
      | lookup  | goes on without end             | 200 after 2 sends, and a whole answer of one endpoint |
      | lookup  | trickles without end            | 200 after 2 sends, and a whole answer of one endpoint |
      | draft   | goes on without end             | the events 1 to 5 after 2 sends                       |
      | draft   | begins and trickles without end | the events 1 to 5 after 2 sends                       |

  @each.installation
  Scenario Outline: A host to which many answers without end come keeps to its memory
    # Guards against answers of which each is within its limit, and all of them are not.
    Given a second endpoint "<second>" of "<service>"
    When 40 callers of one host each send a <request> whose answer <end>
    Then each gets a whole answer or a refusal, and no host has taken more than its memory

    Examples:
      | request | service | second   | end                            |
      | lookup  | stock   | stock-2  | goes on without end            |
      | draft   | engines | engine-2 | goes on without end            |
