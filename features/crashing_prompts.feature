Feature: Decisions on parts of prompts that crash endpoints

  Scenario: A crash report tells what the endpoint held
    # Guards against crashes that can't be told from cut links, and whose cause leaves no trace.
    Given a host whose endpoint "e1" holds requests with these prompts
      | prompt              | state         |
      | system red own1     | not begun     |
      | system blue own2    | begun         |
      | system green own3   | broken before |
      | system yellow own4  | cancelled     |
    When "e1" is found to have ended
    Then the report counts 3 requests, 1 of them begun, and suspects "red, green"

  Scenario: A crash that a peer found gets the parts of the requests that came there over it
    # Guards against hosts that reach an endpoint over a peer only, and can't see that it crashed.
    Given a host whose endpoint "e1" holds requests with these prompts
      | prompt              | state         |
      | system red own1     | broken before |
      | system blue own2    | begun         |
    When a peer tells that "e1" has ended
    Then the report counts 2 requests, 1 of them begun, and suspects "red"

  Scenario Outline: What a probe of an endpoint finds: <endpoint>
    # Guards against endpoints that are cut off, or close a connection, and count as crashed.
    Given an endpoint that <endpoint>, and broke off an answer
    When a host probes it
    Then the endpoint <has> crashed

    Examples:
      | endpoint                       | has     |
      | listens no more                | has     |
      | accepts connections            | has not |
      | is silent                      | has not |

  Scenario Outline: What convicts a part: <crashes>
    Given evidence of these crashes, a second apart: <crashes>
    Then the parts that are refused are "<refused>"

    Examples:
      | crashes                              | refused |
      | red blue, red green                  | -       |
      | red blue, red green, red yellow      | red     |
      | red blue, red blue, red blue         | blue+red |
      | red blue, red blue, red green        | -       |
      | red blue, red blue, red green, red green | red |
      | red blue, red blue, red blue, red    | -       |
      | red blue, red blue, red blue, red, red | red   |
      | red one, red two, red three, blue one, blue two, blue three | - |
      | red one, one two, one blue, two blue | -       |
      | red blue, red green, blue yellow, red blue | -  |
      | red, red, red, blue, blue            | red     |
      | red, red, red, blue, blue, blue      | blue, red |
      | red blue, red blue, red, blue green  | -       |

  Scenario Outline: Crashes minutes apart convict a part unless an answer begins on it: <event>
    # Guards against requests that come so seldom that each crash is forgotten before the next one.
    Given crashes of three endpoints 100 s apart by requests with the same part, and meanwhile <event>
    Then the parts that are refused are "<refused>"

    Examples:
      | event                                  | refused |
      | nothing                                | red     |
      | an answer that begins at this host     | -       |
      | an answer that begins at another host  | -       |

  Scenario Outline: What ends a quarantine: <event>
    Given a part that is refused
    When <event>
    Then requests with it <are> refused

    Examples:
      | event                                       | are     |
      | an answer begins on it at another host      | are not |
      | 890 s go by                                 | are     |
      | 910 s go by                                 | are not |
      | 910 s go by and one more endpoint crashes    | are     |
      | an answer begins on another part            | are     |

  Scenario Outline: No way of sending passes by a quarantine
    Given a dispatcher of a host that refuses a part
    Then a request with it <way> is refused as <kind>

    Examples:
      | way                                        | kind               |
      | that arrives                               | prompt_quarantined |
      | that waited for a connection meanwhile     | prompt_quarantined |
      | that was rejected by an endpoint           | prompt_quarantined |
      | that may have run                          | endpoint_failed    |
      | whose stream is resumed                    | endpoint_failed    |

  Scenario: A refused prompt gets no time to come back
    Then the answer to a refused prompt is 503, not run, without a time to come back

  Scenario Outline: A suspected request is not sent again: <failure>, after <count> crashes
    # Guards against second sends that end further engines, and against none after a plain crash.
    Given a dispatcher of a host with a request that an endpoint held when it crashed
    And the part of that request was in <count> crashes
    When <failure>
    Then the request is <sent>

    Examples:
      | failure                                             | sent                              | count |
      | its connection breaks                               | sent again                        | 1     |
      | its connection breaks                               | refused as endpoint_failed        | 2     |
      | its connection breaks, and its part began elsewhere | sent again                        | 2     |
      | a larger model would answer it better               | not escalated                     | 2     |

  Scenario: Endpoints that crash together say no more of their prompts than one crash
    # Guards against refusing a new prompt that several endpoints held as a zone or a rack ended.
    Given 6 endpoints that crash within 0.2 s, each with a request with the same new part
    Then that part is not refused
    When 3 more endpoints crash a second apart, each with a request with it
    Then that part is refused
