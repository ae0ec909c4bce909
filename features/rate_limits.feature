Feature: Endpoints that name the rate that they take from all hosts together

  @fixture.host_pair
  Scenario: All hosts together keep to the rate that an endpoint names in its answers
    # Guards against a rate limit that no host, or each host for itself, keeps to.
    Given the endpoint "stock-1" names a limit of 1.0 requests a second, and both hosts know it
    When callers at both hosts send 60 lookups within 4 s
    Then "stock-1" received at most 11 of them
    And the others are refused as not run, with a time to come back

  Scenario: A limit that an endpoint lifts is lifted at all hosts
    # Guards against hosts without a share, which get no answer that would lift the limit.
    Given 6 hosts that exchange digests, before one endpoint
    When the endpoint names a limit of 1.0 requests a second
    And the endpoint names no limit any more for 12 s
    Then all hosts send to it without a limit

  Scenario Outline: What an answer says of the limit counts in the order in which it was said
    Given an endpoint that named a limit of 2.0 requests a second at 100.0
    When it answers <answer>
    Then its limit is <limit>

    Examples:
      | answer                                                       | limit |
      | 3.0 to a request of 101.0                                    | 3.0   |
      | without a limit to a request of 101.0                        | none  |
      | without a limit to a request of 99.0                         | 2.0   |
      | without a limit that it did not run a request of 101.0       | 2.0   |
      | 0.0 to a request of 101.0                                    | 0.0   |

  Scenario Outline: A limit that can't be read is none
    Then an answer with "<value>" names the limit <limit>

    Examples:
      | value    | limit |
      | 1.25     | 1.25  |
      | 14       | 14.0  |
      | 0        | 0.0   |
      | -1       | none  |
      | 1e3      | none  |
      | nan      | none  |
      | inf      | none  |
      | a lot    | none  |
      | 1.2.3    | none  |

  Scenario Outline: No way of sending passes by a limit
    Given a dispatcher of a host whose share of a limit is used up
    Then a request <way> is not sent to the limited endpoint

    Examples:
      | way                                                  |
      | sent first                                           |
      | sent again after a failure elsewhere                 |
      | whose stream is resumed                              |
      | whose session was there before                       |
      | whose prompt was read there                          |
      | for a larger model                                   |
      | of a version on trial                                |
      | that waited for a connection while the rest was used |

  Scenario Outline: A limit belongs to one start of an endpoint
    # Guards against a limit that is forgotten when the record of a living endpoint lapses.
    Given a dispatcher of a host whose share of a limit is used up
    When the record of the limited endpoint <event>
    Then its limit is <limit>
    And <sends> sends to it in the last 4 s are known

    Examples:
      | event                                    | limit | sends |
      | is gone and comes back                   | 1.0   | 4     |
      | is gone and comes back after a new start | none  | 0     |
      | is renewed                               | 1.0   | 4     |

  Scenario: An endpoint that never named a limit is not told of
    # Guards against digests that tell of every answer without a limit.
    Given an endpoint state
    When an answer names no limit
    Then digests tell nothing of it
    When an older limit becomes known, which that answer has lifted
    Then digests tell that it names no limit
