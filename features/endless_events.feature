Feature: Engines that send events without end

  @fixture.endless_engines
  Scenario Outline: Lookups are answered in time while 40 drafts' engines send <what> without end
    # Guards against a host that splits bytes into ever more events, and does nothing else meanwhile.
    When 40 drafts come whose engines go on with <what> without end
    And lookups come 10 times a second for 4 s, each with a second to be answered in
    Then all lookups got 200
    And no more than 1500 KB reached the caller of any draft

    Examples:
      | what                  |
      | blank lines           |
      | comments              |
      | its first event       |

  Scenario Outline: A huge read of <what> is taken in parts, between which other work has its turn
    # Guards against one read that makes work for seconds.
    When 256 KB of <what> have arrived at once
    Then they are read in parts of at most 8 KB, with a turn for other work after each

    Examples:
      | what                  |
      | blank lines           |
      | tiny events           |

  Scenario: Events without an id are passed on as they came
    When a stream of "id: 1", ": comment", "data: x", "", "id: 2" and "event: end" is read
    Then the events "id: 1", "id: 2" are numbered, and all bytes are passed on in order

  @each.installation
  Scenario Outline: A draft whose answer <end> is resumed at another engine
    # Guards against callers held until their deadline by events that never continue an answer.
    Given a second endpoint "engine-2" of "engines"
    When a caller sends a draft whose answer <end>
    Then it gets the events 1 to 5 after 2 sends
    And its connection serves 5 more lookups, each with one send

    Examples:
      | end                                           |
      | goes on with blank lines without end          |
      | goes on with comments without end             |
      | goes on with events without an id without end |
      | goes on with its first event without end      |
      | trickles comments without end                 |
      | trickles its first event without end          |
