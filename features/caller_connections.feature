Feature: Connections of callers at their limits

  Scenario Outline: A burst of <new> new connections leaves no more open than a host may have
    # Guards against a burst that is accepted beyond the limit and uses up the host's sockets.
    Given a server for at most 10 connections, <idle> of them idle and <busy> with an open request
    When <new> callers connect at the same time
    Then 10 connections are open
    And each open request is answered

    Examples:
      | new | idle | busy |
      | 1   | 10   | 0    |
      | 40  | 10   | 0    |
      | 40  | 7    | 3    |
      | 40  | 0    | 10   |
      | 200 | 5    | 5    |

  Scenario: A caller that asks for the head only gets it, and its connection is kept
    # Guards against a refusal with a text that ends the connection without an answer.
    Given a server that refuses each request with a text
    When a caller sends HEAD, and then POST over the same connection
    Then it gets a head with status 404, and then a whole answer with status 404

  Scenario Outline: A head of 10000 bytes on an open connection, <when>, gets <status>
    # Guards against connections that keep the limit in force when they were accepted.
    Given a server that allows heads of <first> bytes, and a caller that it has served
    When heads of <changes> bytes are allowed while that caller <does>
    And it has sent a head of 10000 bytes in 8 parts
    Then it gets the status <status>

    Examples:
      | when                                        | first | changes           | does                 | status |
      | after the limit was raised                  | 4096  | 16384             | waits                | 200    |
      | after the limit was lowered                 | 16384 | 4096              | waits                | 431    |
      | after several changes, the last one a raise | 4096  | 2048, 8192, 16384 | waits                | 200    |
      | after several changes, the last one a cut   | 16384 | 32768, 4096       | waits                | 431    |
      | of which half came before the raise         | 4096  | 16384             | has sent half of one | 200    |
      | of which half came before the cut           | 16384 | 4096              | has sent half of one | 200    |

  Scenario Outline: A body of 10000 bytes that is arriving when the limit is <changed> gets <status>
    # Guards against a request that is proper when it is sent and refused in its middle.
    Given a server that allows bodies of <first> bytes, and a caller that it has served
    When bodies of <second> bytes are allowed while half of that caller's body has arrived
    And the rest of it arrives
    Then it gets the status <status>

    Examples:
      | changed | first | second | status |
      | raised  | 8000  | 20000  | 200    |
      | lowered | 20000 | 8000   | 200    |

  Scenario Outline: A longer time for <what> holds for a caller that <does>
    # Guards against timers that run out by the bounds of the time when they were set.
    Given a server that allows a short time for <what>, and a caller that it has served
    When a long time is allowed while that caller <does>
    And the short time has passed, and the caller sends what it has left
    Then it gets the status 200

    Examples:
      | what               | does                      |
      | the next request   | waits                     |
      | heads              | has sent half of a head   |
      | bodies             | has sent half of a body   |
