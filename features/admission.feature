Feature: Admission before a request starts

  Background:
    Given a dispatcher over engines "e1, e2" of 4 slots

  Scenario: A request that can't start in time is refused at once
    # Both engines are full and ten requests are queued. The refusal says when to retry, and
    # no engine gets the request.
    When 8 chats of importance 5 start at 0.0
    And 10 chats of importance 5 start at 0.1
    And a chat of importance 5 that must start within 0.05 s starts at 0.2
    Then it is refused with "deadline_unreachable" and a time to retry
    And the engines run 8 requests

  Scenario: More important requests start first
    When 8 chats of importance 5 start at 0.0
    And a chat "report" of importance 2 starts at 0.1
    And a chat "counter" of importance 9 starts at 0.2
    And a request of the engines ends at 0.3
    Then "counter" starts and "report" waits

  Scenario Outline: Requests queued for a full pool use the host's own engines only
    # This host's engine is full and four requests are queued. According to an outdated report
    # other hosts' engines have a few free slots. If the whole pool is nearly full, all hosts
    # that rely on such a report send there at once, and the most important requests wait
    # there behind those of others. If the pool isn't full, those slots must be used.
    Given a dispatcher over engines "own, other, third" of 40 slots
    And engine "own" belongs to this host and finishes a request in 1.0 s
    When 40 chats of importance 5 start at 0.0
    And engine "other" reports <running> requests, 200 times until 0.1
    And engine "third" reports <running> requests, 200 times until 0.1
    And 4 chats of importance 5 start at 0.1
    Then <waiting> chats are queued at 0.5
    And engine "own" runs 40 requests

    Examples:
      | running | waiting |
      | 39      | 4       |
      | 20      | 0       |

  Scenario: The least important request is evicted from a full queue
    # Four reports are queued. A fifth report is refused; the counter's request evicts one,
    # which is refused at once.
    When 8 chats of importance 2 start at 0.0
    And 4 chats of importance 2 start at 0.1
    And a chat "fifth" of importance 2 starts at 0.2
    Then it is refused with "queue_full" and a time to retry
    When a chat "counter" of importance 9 starts at 0.3
    Then 1 queued chat of importance 2 is refused with "queue_full" at 0.3

  Scenario: A queued request is refused when it can no longer start in time
    When 8 chats of importance 5 start at 0.0
    And a chat "late" of importance 5 that must start within 1.0 s starts at 0.1
    Then "late" is refused with "deadline_unreachable" by 1.2

  Scenario: Client accounts are served in turn
    # One account sent three requests before the other's first one, which is served second
    # and not fourth.
    Given a fair queue
    When account "large" queues 3 requests and account "small" queues 1
    Then the queue serves "large, small, large, large"

  Scenario: An account gets no credit for the time that it was idle
    Given a fair queue
    When account "large" queues 4 requests and 2 are served
    And account "small" queues 2 requests
    Then the queue serves "small, large, small, large"

  Scenario: The adaptive limit decreases while requests wait at the engines, and recovers
    Given an adaptive limit of 40
    When 30 requests each waited 1.0 s, at intervals of 3.0 s, while the limit was in full use
    Then the adaptive limit is below 30
    When 400 requests each waited 0.0 s, at intervals of 0.1 s, while the limit was in full use
    Then the adaptive limit is above 40

  Scenario: One period of waiting decreases the limit once
    # Requests take long, so the number of running ones stays above the limit for a while. A
    # limit that decreases again for the same queue would end far below the capacity.
    Given an adaptive limit of 40
    When 30 requests each waited 1.0 s, at intervals of 0.1 s, while 60 were running
    Then the adaptive limit is above 30

  Scenario: A plain service that slows down gets fewer concurrent calls
    # Its calls take three times as long as without load, so they must be waiting there.
    Given a service limit that recorded 100 calls of 0.05 s
    When 50 calls of the service take 0.15 s each, while the limit is in full use
    Then the service limit is below 16

  Scenario: A plain service with calls of varying duration keeps its limit
    Given a service limit that recorded 100 calls of 0.05 s
    When 50 calls of the service take 0.02 s and 0.08 s in turn, while the limit is in full use
    Then the service limit is above 16
