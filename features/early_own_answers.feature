Feature: Answers of the own interface's engines, services and stores that come before the call was taken

  Scenario Outline: Of <plays> answers without a length to a call of <size> bytes, whose connection <end>, <whole> are whole
    # Guards against a library that goes on to the answer where it could not send the request.
    When <plays> calls of <size> bytes get 4000 bytes without a length from a server that <end>
    Then <whole> of them are whole

    Examples:
      | plays | size    | end                                         | whole |
      | 20    | 8000000 | is reset after a while                      | 0     |
      | 20    | 8000000 | is reset at once                            | 0     |
      | 20    | 8000000 | closes its side, and is reset after a while | 0     |
      | 20    | 8000000 | closes its side, and is reset at once       | 0     |
      | 20    | 1000000 | closes its side, and is reset after a while | 0     |
      | 20    | 8000000 | ends in order, with all of the request read | 20    |
      | 20    | 100     | ends in order, with all of the request read | 20    |

  Scenario: An early refusal with a length is read although the call could not be sent
    # Guards against a check that loses the answer of a server that refuses a long call at once.
    When 5 calls of 8000000 bytes get a refusal with a length from a server that closes its side, and is reset after a while
    Then 5 of them are whole

  Scenario Outline: <what> that answers with the status 000 has given no answer
    # Guards against a status of no HTTP that callers get as an answer.
    When <what> answers with the status 000
    Then the call fails

    Examples:
      | what               |
      | a plain service    |
      | an engine's answer |
      | an engine's load   |
      | an engine's cache  |
      | an engine's models |
      | the host list      |
      | the log            |
      | the ratings        |
