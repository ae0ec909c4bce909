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
