Feature: The choice of an endpoint

  Scenario: A late report is corrected by what was sent since
    # The report was true before this host sent five requests to the first
    # engine. Without the correction it would look empty and get all.
    Given an endpoint table with engines "e1, e2" of 8 places in zone "a"
    And a report of "e1" with 0 requests, true at 0.0
    And a report of "e2" with 3 requests, true at 0.0
    When 5 requests are sent to "e1" at 0.5
    Then the chosen engine at 1.0 is "e2"

  Scenario: A report that counts own requests doesn't count them twice
    Given an endpoint table with engines "e1, e2" of 8 places in zone "a"
    When 5 requests are sent to "e1" at 0.5
    And a report of "e1" with 5 requests, true at 1.0
    Then "e1" is expected to have 5 requests at 1.0

  Scenario: A report that arrives out of order is dropped
    Given an endpoint table with engines "e1, e2" of 8 places in zone "a"
    When a report of "e1" with 6 requests, true at 2.0
    And a report of "e1" with 0 requests, true at 1.0
    Then "e1" is expected to have 6 requests at 2.0

  Scenario: The own zone comes first until its engines queue
    # Zone b is as empty, yet a link costs delay and money. Once the engines of
    # the own zone have a queue, the other zone wins by more than the link.
    Given an endpoint table with engines "a1, a2" of 4 places in zone "a"
    And further engines "b1, b2" of 4 places in zone "b"
    Then every choice of 50 at 0.0 is in zone "a"
    When a report of "a1" with 12 requests, true at 1.0
    And a report of "a2" with 12 requests, true at 1.0
    Then every choice of 50 at 1.0 is in zone "b"

  Scenario: One zone's link slows
    # The link to zone b takes two seconds: longer than the queue at home.
    Given an endpoint table with engines "a1, a2" of 4 places in zone "a"
    And further engines "b1, b2" of 4 places in zone "b"
    When the link to zone "b" takes 2.0 s
    And a report of "a1" with 5 requests, true at 1.0
    And a report of "a2" with 5 requests, true at 1.0
    Then every choice of 50 at 1.0 is in zone "a"

  Scenario: A dead engine gets nothing after its first failed call
    # The host list still shows it. The failed call itself takes it out, at once.
    Given an endpoint table with engines "e1, e2, e3" of 8 places in zone "a"
    When a call to "e2" fails at 1.0 with "connect"
    Then no choice of 100 at 1.0 is "e2"
    And no choice of 100 at 1.9 is "e2"

  Scenario: A dead engine comes back with its first load report
    Given an endpoint table with engines "e1, e2" of 8 places in zone "a"
    When a call to "e2" fails at 1.0 with "connect"
    And a report of "e2" with 0 requests, true at 1.5
    Then some choice of 100 at 1.6 is "e2"

  Scenario: No engine can be reached
    # Every call would be one more failure. The caller hears so at once, and the
    # first load report ends it.
    Given an endpoint table with engines "e1, e2" of 8 places in zone "a"
    When a call to "e1" fails at 1.0 with "connect"
    And a call to "e2" fails at 1.0 with "connect"
    Then nothing is chosen at 1.5
    When a report of "e1" with 0 requests, true at 1.6
    Then the chosen engine at 1.7 is "e1"

  Scenario: Broken answers never take out more than half of the engines
    # A fault of the requests breaks the answers of all engines. Ejecting all of
    # them would turn it into an outage.
    Given an endpoint table with engines "e1, e2, e3, e4" of 8 places in zone "a"
    When a call to each engine fails at 1.0 with "broken"
    Then the choices of 200 at 1.1 are of 2 engines

  Scenario: Failures of one moment count as one
    # Forty streams break together when an engine restarts. The pause is that of
    # one failure, not of forty.
    Given an endpoint table with engines "e1, e2" of 8 places in zone "a"
    When 40 calls to "e2" fail at 1.0 with "connect"
    Then some choice of 100 at 2.5 is "e2"

  Scenario: A leaving engine gets nothing new
    Given an endpoint table with engines "e1, e2" of 8 places in zone "a"
    When the host list shows "e1" as leaving
    Then no choice of 100 at 1.0 is "e1"

  Scenario: A fresh engine starts slowly
    # Its cache is cold, and every host sees it empty at the same moment. It
    # counts as a quarter of its places at first.
    Given an endpoint table with engines "e1" of 8 places in zone "a"
    And a report of "e1" with 4 requests, true at 1.0
    When engine "e2" of 8 places appears at 2.0
    And a report of "e2" with 2 requests, true at 2.1
    Then the chosen engine at 2.2 is "e1"
    When a report of "e1" with 4 requests, true at 12.9
    And a report of "e2" with 2 requests, true at 12.9
    Then the chosen engine at 13.0 is "e2"

  Scenario: A prompt goes where its beginning is cached
    Given an endpoint table with engines "e1, e2, e3, e4, e5, e6" of 8 places in zone "a"
    And prefills take 0.001 s a token
    When a prompt of 20 blocks was sent to "e4" at 1.0
    Then the prompt goes to "e4" at 5.0

  Scenario: An overloaded engine loses its sessions' prompts
    Given an endpoint table with engines "e1, e2, e3, e4, e5, e6" of 8 places in zone "a"
    And prefills take 0.001 s a token
    When a prompt of 20 blocks was sent to "e4" at 1.0
    And a report of "e4" with 40 requests, true at 4.0
    Then the prompt does not go to "e4" at 5.0

  Scenario: Lost cache events make what is known doubtful, not wrong
    # The number jumps by 500. Any of the lost events may have removed the block.
    Given an endpoint table with engines "e1, e2" of 8 places in zone "a"
    When a prompt of 20 blocks was sent to "e1" at 1.0
    And the cache events of "e1" reach number 10 at 1.5
    Then "e1" is expected to hold at least 19 blocks of the prompt at 1.6
    When the cache events of "e1" reach number 510 at 1.7
    Then "e1" is expected to hold at most 5 blocks of the prompt at 1.8

  Scenario: Cache events stop
    # What no event confirms is worth less and less, and never raises an error.
    Given an endpoint table with engines "e1, e2" of 8 places in zone "a"
    When a prompt of 20 blocks was sent to "e1" at 1.0
    Then "e1" is expected to hold at least 19 blocks of the prompt at 2.0
    And "e1" is expected to hold at most 2 blocks of the prompt at 400.0

  Scenario: The prefix index stays within its bound
    Given an endpoint table with engines "e1, e2" of 8 places in zone "a"
    When 30000 prompts of 2 blocks were sent to "e1"
    Then the prefix index holds at most 20000 blocks

  Scenario: Each engine is polled by one host of its zone, and all hear of it
    # Six hosts that each poll every engine would be bearable, 390 would not.
    Given load sharing between hosts "a1, a2, b1" with engines "ea, eb, ec" in zone "a"
    Then each engine is owned by one host of zone "a"
    When the owners poll their engines and publish
    Then host "a1" and host "a2" know the load of each engine
    And host "b1" knows the sum of zone "a"

  Scenario: Engines are spread evenly over the hosts of their zone
    # Plain rendezvous hashing would give one host five engines and another one.
    Given 24 engines and 6 hosts of one zone
    Then each host is assigned 4 engines
    And without one host at most 3 of the other hosts' engines change hands

  Scenario: A host sends to its own engines while they have room
    # It knows their load exactly, because it sends most of what they get.
    Given an endpoint table with engines "e1, e2, e3, e4" of 8 places in zone "a"
    And engines "e2, e3" are assigned to this host
    Then the choices of 100 at 0.0 are of 2 engines
    And no choice of 100 at 0.0 is "e1"
    When 16 requests are sent to "e2" at 1.0
    And 16 requests are sent to "e3" at 1.0
    Then no choice of 100 at 1.1 is "e2"
