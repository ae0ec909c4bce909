Feature: Engines, services and stores of the own interface that stop inside the head of an answer

  Scenario Outline: <what> that stops <where> has given no answer
    # Guards against an empty or short body that callers get as a whole one, with success.
    When <what> stops <where>, and closes its connection
    Then the call fails

    Examples: where it stops
      | what            | where                              |
      | a plain service | after its version                  |
      | a plain service | in its status                      |
      | a plain service | in a status line of no HTTP        |
      | a plain service | in its status line                 |
      | a plain service | after its status line              |
      | a plain service | in a header                        |
      | a plain service | before its length                  |
      | a plain service | before its last empty line         |
      | a plain service | in its last empty line             |
      | a plain service | after an interim head              |
      | a plain service | in the head after an interim head  |

    Examples: who stops
      | what               | where                      |
      | an engine's answer | before its length          |
      | an engine's load   | before its length          |
      | an engine's cache  | before its length          |
      | an engine's models | before its length          |
      | an engine's models | in its status              |
      | the host list      | before its length          |
      | the log            | before its length          |
      | the ratings        | before its length          |

  Scenario: An engine that stops inside the head of an exported cache has exported none
    # Guards against a cache that is imported empty at the engine that takes a stream over.
    When an engine stops before its length while its cache is moved
    Then nothing is imported

  Scenario Outline: <what> that answers with a field of nested lists has given no answer
    # Guards against threads that end because of what an engine or a store answers.
    When <what> answers with a field of 100000 nested lists
    Then the call fails

    Examples:
      | what               |
      | an engine's answer |
      | an engine's load   |
      | an engine's cache  |
      | an engine's models |
      | the host list      |
      | the log            |
      | the ratings        |
