Feature: Admission before work starts

  Background:
    Given a dispatch over engines "e1, e2" of 4 places

  Scenario: A request that can't start in time is refused at once
    # Both engines are full and ten others wait. The caller hears when to come
    # back, and no engine sees the request.
    When 8 chats of importance 5 start at 0.0
    And 10 chats of importance 5 start at 0.1
    And a chat of importance 5 that must start within 0.05 s starts at 0.2
    Then it is refused with "deadline_unreachable" and a time to come back
    And the engines hold 8 requests

  Scenario: More important work goes first
    When 8 chats of importance 5 start at 0.0
    And a chat "report" of importance 2 starts at 0.1
    And a chat "counter" of importance 9 starts at 0.2
    And a request of the engines ends at 0.3
    Then "counter" starts and "report" waits

  Scenario Outline: What waits in a full pool keeps to the host's own engines
    # This host's engine is full and four requests wait. By a late report other
    # hosts' engines have a few places. If the whole pool is nearly full, each host
    # that trusts such a report sends there at once, and the most important work
    # waits there behind what others sent. If it isn't, those places are to be used.
    Given a dispatch over engines "own, other, third" of 40 places
    And engine "own" belongs to this host and finishes a request in 1.0 s
    When 40 chats of importance 5 start at 0.0
    And engine "other" reports <running> requests, 200 times until 0.1
    And engine "third" reports <running> requests, 200 times until 0.1
    And 4 chats of importance 5 start at 0.1
    Then <waiting> chats wait at 0.5
    And engine "own" holds 40 requests

    Examples:
      | running | waiting |
      | 39      | 4       |
      | 20      | 0       |

  Scenario: The least important makes room in a full queue
    # The queue holds four reports. A fifth report is refused; the counter's
    # request takes the place of one, which hears at once.
    When 8 chats of importance 2 start at 0.0
    And 4 chats of importance 2 start at 0.1
    And a chat "fifth" of importance 2 starts at 0.2
    Then it is refused with "queue_full" and a time to come back
    When a chat "counter" of importance 9 starts at 0.3
    Then 1 waiting chat of importance 2 is refused with "queue_full" at 0.3

  Scenario: A waiting request whose time is over hears at once
    When 8 chats of importance 5 start at 0.0
    And a chat "late" of importance 5 that must start within 1.0 s starts at 0.1
    Then "late" is refused with "deadline_unreachable" by 1.2

  Scenario: Client accounts take turns
    # One account sent three requests before the other's first. The other's is
    # served second, not fourth.
    Given a fair queue
    When account "large" queues 3 requests and account "small" queues 1
    Then the queue serves "large, small, large, large"

  Scenario: An account that was idle saves up no turns
    Given a fair queue
    When account "large" queues 4 requests and 2 are served
    And account "small" queues 2 requests
    Then the queue serves "small, large, small, large"

  Scenario: The adaptive limit falls while requests wait at the engines, and climbs after
    Given an adaptive limit of 40
    When 30 requests each waited 1.0 s, at intervals of 3.0 s, while all places were used
    Then the adaptive limit lies below 30
    When 400 requests each waited 0.0 s, at intervals of 0.1 s, while all places were used
    Then the adaptive limit lies above 40

  Scenario: One burst of waiting cuts the limit once
    # Requests take long, so what runs stays above the limit for a while. A limit
    # that cuts again for the same queue would end far below the capacity.
    Given an adaptive limit of 40
    When 30 requests each waited 1.0 s, at intervals of 0.1 s, while 60 were running
    Then the adaptive limit lies above 30

  Scenario: A plain service that slows down gets fewer calls at once
    # Its calls take three times as long as when it was quiet: they wait there.
    Given a service limit that saw 100 calls of 0.05 s
    When 50 calls of the service take 0.15 s each, while all places are used
    Then the service limit lies below 16

  Scenario: A plain service whose calls differ by themselves keeps its limit
    Given a service limit that saw 100 calls of 0.05 s
    When 50 calls of the service take 0.02 s and 0.08 s in turn, while all places are used
    Then the service limit lies above 16
