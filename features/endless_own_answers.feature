Feature: Engines, services and stores of the own interface that send bytes without end

  Scenario Outline: <what> that <beginning>, and then sends <rest> without end, is given up
    # Guards against memory, and threads, that an engine, a service or a store takes as long as it likes.
    When <what> <beginning>, and then sends <rest> without end
    Then the call fails before 40000 KB were sent, and its connection is closed

    Examples: as fast as it can
      | what               | beginning           | rest         |
      | an engine's answer | begins a huge chunk | letters      |
      | an engine's answer | begins with nothing | whole chunks |
      | an engine's answer | begins with a chunk | whole chunks |
      | an engine's answer | begins with nothing | blank lines  |
      | an engine's answer | ends                | header lines |
      | an engine's answer | is an error         | whole chunks |
      | an engine's answer | has no length       | letters      |
      | an engine's load   | has no length       | letters      |
      | an engine's load   | begins with nothing | whole chunks |
      | an engine's load   | ends                | header lines |
      | an engine's cache  | has no length       | letters      |
      | an engine's models | has no length       | letters      |
      | the host list      | has no length       | letters      |
      | the log            | has no length       | letters      |
      | the ratings        | has no length       | letters      |
      | a plain service    | has no length       | letters      |
      | a plain service    | begins with nothing | whole chunks |

    Examples: a few bytes at a time
      | what               | beginning           | rest             |
      | an engine's answer | begins a huge chunk | slow letters     |
      | an engine's answer | begins with nothing | slow chunks      |
      | an engine's answer | begins with a chunk | slow chunks      |
      | an engine's answer | begins with nothing | slow blank lines |
      | an engine's answer | is an error         | slow chunks      |
      | an engine's load   | has no length       | slow letters     |
      | an engine's load   | begins with nothing | slow chunks      |
      | an engine's models | has no length       | slow letters     |
      | the host list      | has no length       | slow letters     |
      | the log            | has no length       | slow letters     |
      | the ratings        | has no length       | slow letters     |
      | a plain service    | has no length       | slow letters     |
      | a plain service    | begins with nothing | slow chunks      |
