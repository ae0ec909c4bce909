Feature: Answers that end before their endpoint has taken the request

  Scenario Outline: Of <plays> answers without a length to a request of <size> bytes, whose connection <end>, <whole> are whole
    # Guards against a part of an answer that is taken for a whole one, since the request broke first.
    When <plays> requests of <size> bytes get 4000 bytes without a length from an endpoint that <end>
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

  @each.installation
  Scenario Outline: A <request> of 1 MB whose endpoint answers early and <end> gets <seen>
    # Guards against callers that get a part of an answer as a whole one.
    Given bodies of 2000000 bytes are allowed
    And an endpoint of "<service>" that answers each request early and <end>
    When callers send <request>s of 1000000 bytes until that endpoint has got one
    Then each gets <seen>

    Examples:
      | request | service | end                                         | seen                                   |
      | lookup  | stock   | closes its side, and is reset after a while | a whole answer of another endpoint     |
      | lookup  | stock   | is reset after a while                      | a whole answer of another endpoint     |
      | order   | stock   | closes its side, and is reset after a while | 502, or an answer of another endpoint  |
      | order   | stock   | is reset at once                            | 502, or an answer of another endpoint  |
      | draft   | engines | closes its side, and is reset after a while | all events, or an answer broken off    |
      | draft   | engines | is reset after a while                      | all events, or an answer broken off    |

  @fixture.cuttable_hosts
  Scenario Outline: Through a helper, a <request> of 1 MB whose endpoint answers early and <end> gets <seen>
    # Guards against a helper that reports the end of an answer whose request it could not pass on.
    Given bodies of 2000000 bytes are allowed
    And an endpoint of "<service>" that answers each request early and <end>
    And host 0 reaches endpoints through helpers only
    When callers send <request>s of 1000000 bytes until that endpoint has got one
    Then each gets <seen>

    Examples:
      | request | service | end                                         | seen                                  |
      | lookup  | stock   | closes its side, and is reset after a while | a whole answer of another endpoint    |
      | order   | stock   | closes its side, and is reset after a while | 502, or an answer of another endpoint |
      | order   | stock   | is reset after a while                      | 502, or an answer of another endpoint |
      | draft   | engines | closes its side, and is reset after a while | all events, or an answer broken off   |

  @each.installation
  Scenario Outline: A <request> whose endpoint answers with the status 000 gets <seen>
    # Guards against an endpoint in trouble whose answer is passed on.
    Given an endpoint of "<service>" that answers each request with the status 000
    When callers send <request>s of 100 bytes until that endpoint has got one
    Then each gets <seen>

    Examples:
      | request | service | seen                                  |
      | lookup  | stock   | a whole answer of another endpoint    |
      | order   | stock   | 502, or an answer of another endpoint |
      | draft   | engines | all events, or an answer broken off   |

  @fixture.cuttable_hosts
  Scenario Outline: Through a helper, a <request> whose endpoint answers with the status 000 gets <seen>
    # Guards against a relay on which a status of no HTTP counts as an answer.
    Given an endpoint of "<service>" that answers each request with the status 000
    And host 0 reaches endpoints through helpers only
    When callers send <request>s of 100 bytes until that endpoint has got one
    Then each gets <seen>

    Examples:
      | request | service | seen                                  |
      | lookup  | stock   | a whole answer of another endpoint    |
      | order   | stock   | 502, or an answer of another endpoint |

  Scenario: A store that answers with the status 000 has given no answer
    # Guards against a call of the store that counts as answered.
    When the store answers with the status 000
    Then no call of it has got an answer
