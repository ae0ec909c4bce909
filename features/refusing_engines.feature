Feature: Requests are sent to engines with free slots while others refuse them

  Scenario Outline: Most engines of a pool refuse, and some have free slots
    # The engines answer 503 without starting, which costs an attempt each. If they were tried
    # again four times a second, like an engine that was full for a moment, a request would hit
    # three of them in a row and be refused, and the retry budget would be exhausted, although
    # the remaining engines have the capacity for all requests.
    Given a dispatcher over engines "e1, e2, e3, e4, e5, e6" of 8 slots
    And all but <well> of them refuse
    When 120 chats start, one every 0.2 s, and are refused or answered by their engines
    Then at most <refused> of them are refused

    Examples:
      | well | refused |
      | 1    | 8       |
      | 2    | 2       |
      | 4    | 0       |

  Scenario: All engines refuse for a while, and then recover
    # They must be used again soon after that, or the pool would stay idle. Only as many are
    # tried again as the load needs, here four with eight slots each.
    Given a dispatcher over engines "e1, e2, e3, e4, e5, e6" of 8 slots
    And all but 0 of them refuse
    When 50 chats start, one every 0.2 s, and are refused or answered by their engines
    And all engines have recovered for 2 s
    And 30 chats start at once and stay open
    Then none of the last 30 is refused, and at least 4 engines run some of them
