Feature: Engines that refuse leave the work to those that have room

  Scenario Outline: Most engines of a pool refuse, and one has room
    # The engines answer 503 without beginning. Each costs an attempt; were they
    # asked again four times a second, as one is that was full for a moment, a
    # request would meet three of them in turn and be refused, and the retry
    # budget would be gone, although the last engine could do all the work.
    Given a dispatch over engines "e1, e2, e3, e4, e5, e6" of 8 places
    And all but <well> of them refuse
    When 120 chats start, one each 0.2 s, and break or end as their engines say
    Then at most <refused> of them are refused

    Examples:
      | well | refused |
      | 1    | 8       |
      | 2    | 2       |
      | 4    | 0       |

  Scenario: All engines refuse for a while, and are well again
    # Nothing may keep them out for long after that: the pool would stay idle. Only
    # as many are asked again as the work needs, here four of places for eight each.
    Given a dispatch over engines "e1, e2, e3, e4, e5, e6" of 8 places
    And all but 0 of them refuse
    When 50 chats start, one each 0.2 s, and break or end as their engines say
    And all engines are well again for 2 s
    And 30 chats start at once and stay open
    Then none of the last 30 is refused, and at least 4 engines have some
