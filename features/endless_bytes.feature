Feature: Endpoints that send bytes without end

  Scenario Outline: Bytes without end that are no answer end the connection, not the host
    # Guards against memory and processor time that an endpoint takes as long as it likes.
    When an endpoint answers with <begin>, and then <rest> without end
    Then the answer is broken before the endpoint has sent 2000 KB

    Examples:
      | begin                     | rest                |
      | nothing                   | letters             |
      | nothing                   | zeros               |
      | nothing                   | interim heads       |
      | a status line             | letters             |
      | a status line             | header lines        |
      | the head of a chunked one | digits              |
      | a chunk                   | letters             |
      | the last chunk            | header lines        |

  Scenario: Bytes without end after an answer close its kept connection
    # Guards against an idle connection that is read for ever, since no request looks at it.
    When an endpoint has answered whole, and goes on with letters without end
    Then the connection is closed before the endpoint has sent 2000 KB

  Scenario Outline: Answers without end keep equal parts, and leave a later answer half as much
    # Guards against answers of which each is within its limit, and all of them are not.
    When <count> answers grow by 4 KB in turn, as far as a room of 24000 KB allows
    Then each keeps at least <least> KB, and they keep at most <most> KB together
    And a later answer may keep <later> KB, and all that they kept is free after their end

    Examples: an equal part of the room, but 8192 KB at most
      | count | least | most  | later |
      | 1     | 8188  | 8192  | 7900  |
      | 2     | 7992  | 16016 | 3992  |
      | 59    | 392   | 23616 | 192   |
      | 599   | 36    | 23960 | 16    |

  Scenario: An event without end that comes byte by byte takes little processor time
    # Guards against a host that searches and copies a whole event anew for each byte.
    When 1048577 bytes of an event come one by one, after one whole event
    Then one event is read, and the rest is no stream

  Scenario Outline: Events are read whole, however they are cut into pieces
    When 3 events come in pieces of <bytes> bytes
    Then these 3 events are read in order

    Examples:
      | bytes |
      | 1     |
      | 2     |
      | 3     |
      | 7     |
      | 1000  |

  Scenario: A host goes on with other work while an endpoint always has more bytes
    # Guards against a host that reads one answer only, as long as its bytes come fast enough.
    When 10000 reads of an answer never have to wait
    Then other work has had a turn at least each 50 reads
