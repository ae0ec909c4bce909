Feature: Endpoint selection

  Scenario: A delayed report is corrected by the requests sent since then
    # The report was measured before this host sent five requests to the first engine.
    # Without the correction that engine would look idle and get every request.
    Given an endpoint table with engines "e1, e2" of 8 slots in zone "a"
    And a report of "e1" with 0 requests, measured at 0.0
    And a report of "e2" with 3 requests, measured at 0.0
    When 5 requests are sent to "e1" at 0.5
    Then the chosen engine at 1.0 is "e2"

  Scenario: Own requests that a report includes are not counted twice
    Given an endpoint table with engines "e1, e2" of 8 slots in zone "a"
    When 5 requests are sent to "e1" at 0.5
    And a report of "e1" with 5 requests, measured at 1.0
    Then "e1" is estimated to have 5 requests at 1.0

  Scenario: A report that arrives out of order is ignored
    Given an endpoint table with engines "e1, e2" of 8 slots in zone "a"
    When a report of "e1" with 6 requests, measured at 2.0
    And a report of "e1" with 0 requests, measured at 1.0
    Then "e1" is estimated to have 6 requests at 2.0

  Scenario: Engines of the own zone are preferred until they have a queue
    # Zone b is equally idle, but cross-zone calls cost delay and money. Once the
    # engines of the own zone have a queue, another zone is faster by more than the link
    # delay.
    Given an endpoint table with engines "a1, a2" of 4 slots in zone "a"
    And additional engines "b1, b2" of 4 slots in zone "b"
    Then every choice of 50 at 0.0 is in zone "a"
    When a report of "a1" with 12 requests, measured at 1.0
    And a report of "a2" with 12 requests, measured at 1.0
    Then every choice of 50 at 1.0 is in zone "b"

  Scenario: The link to one zone is slow
    # The link to zone b takes two seconds: longer than the queue in the own zone.
    Given an endpoint table with engines "a1, a2" of 4 slots in zone "a"
    And additional engines "b1, b2" of 4 slots in zone "b"
    When the link to zone "b" takes 2.0 s
    And a report of "a1" with 5 requests, measured at 1.0
    And a report of "a2" with 5 requests, measured at 1.0
    Then every choice of 50 at 1.0 is in zone "a"

  Scenario: An unreachable engine gets no requests after its first failed call
    # The engine is still in the host list. The failed call alone must eject it, at
    # once.
    Given an endpoint table with engines "e1, e2, e3" of 8 slots in zone "a"
    When a call to "e2" fails at 1.0 with "connect"
    Then no choice of 100 at 1.0 is "e2"
    And no choice of 100 at 1.9 is "e2"

  Scenario: A load report makes a failed engine available again
    Given an endpoint table with engines "e1, e2" of 8 slots in zone "a"
    When a call to "e2" fails at 1.0 with "connect"
    And a report of "e2" with 0 requests, measured at 1.5
    Then some choice of 100 at 1.6 is "e2"

  Scenario: No engine can be reached
    # Every call would fail. The caller must get an error at once, until the first load
    # report shows that an engine is back.
    Given an endpoint table with engines "e1, e2" of 8 slots in zone "a"
    When a call to "e1" fails at 1.0 with "connect"
    And a call to "e2" fails at 1.0 with "connect"
    Then no engine is chosen at 1.5
    When a report of "e1" with 0 requests, measured at 1.6
    Then the chosen engine at 1.7 is "e1"

  Scenario: Broken answers never eject more than half of the engines
    # A fault in the requests themselves breaks the answers of all engines. Ejecting all
    # of them would turn it into an outage.
    Given an endpoint table with engines "e1, e2, e3, e4" of 8 slots in zone "a"
    When a call to each engine fails at 1.0 with "broken"
    Then the choices of 200 at 1.1 fall on exactly 2 engines

  Scenario Outline: The last engine that can be reached gets requests although it has just failed: <reason>
    # Guards against a pool that is left empty because a dead engine counts among those that remain.
    Given an endpoint table with engines "e1, e2" of 8 slots in zone "a"
    When a call to "e2" fails at 0.9 with "<reason>"
    And a call to "e1" fails at 1.0 with "connect"
    Then the chosen engine at 1.01 is "e2"

    Examples:
      | reason           |
      | status_503       |
      | broken           |
      | ReadTimeoutError |

  Scenario: Simultaneous failures count as one
    # Forty streams break together when an engine restarts. They must cause the pause of
    # one failure, not of forty.
    Given an endpoint table with engines "e1, e2" of 8 slots in zone "a"
    When 40 calls to "e2" fail at 1.0 with "connect"
    Then some choice of 100 at 2.5 is "e2"

  Scenario: A leaving engine gets no new requests
    Given an endpoint table with engines "e1, e2" of 8 slots in zone "a"
    When the host list shows "e1" as leaving
    Then no choice of 100 at 1.0 is "e1"

  Scenario: A new engine gets less load at first
    # The engine's cache is cold, and every host sees it idle at the same moment. At
    # first it counts as having a quarter of its slots.
    Given an endpoint table with engines "e1" of 8 slots in zone "a"
    And a report of "e1" with 4 requests, measured at 1.0
    When engine "e2" of 8 slots appears at 2.0
    And a report of "e2" with 2 requests, measured at 2.1
    Then the chosen engine at 2.2 is "e1"
    When a report of "e1" with 4 requests, measured at 12.9
    And a report of "e2" with 2 requests, measured at 12.9
    Then the chosen engine at 13.0 is "e2"

  Scenario: A prompt is sent to the engine that has its prefix cached
    Given an endpoint table with engines "e1, e2, e3, e4, e5, e6" of 8 slots in zone "a"
    And prefills take 0.001 s per token
    When a prompt of 20 blocks was sent to "e4" at 1.0
    Then the prompt goes to "e4" at 5.0

  Scenario: A prompt is not sent to an overloaded engine that has its prefix cached
    Given an endpoint table with engines "e1, e2, e3, e4, e5, e6" of 8 slots in zone "a"
    And prefills take 0.001 s per token
    When a prompt of 20 blocks was sent to "e4" at 1.0
    And a report of "e4" with 40 requests, measured at 4.0
    Then the prompt does not go to "e4" at 5.0

  Scenario: Lost cache events lower the confidence in earlier entries
    # The sequence number jumps by 500. Any of the lost events may have been the removal
    # of a block of the prompt.
    Given an endpoint table with engines "e1, e2" of 8 slots in zone "a"
    When a prompt of 20 blocks was sent to "e1" at 1.0
    And the cache events of "e1" reach sequence number 10 at 1.5
    Then "e1" is expected to have cached at least 19 blocks of the prompt at 1.6
    When the cache events of "e1" reach sequence number 510 at 1.7
    Then "e1" is expected to have cached at most 5 blocks of the prompt at 1.8

  Scenario: Cache events stop
    # Entries that no event confirms lose confidence over time. The missing events must
    # not raise an error.
    Given an endpoint table with engines "e1, e2" of 8 slots in zone "a"
    When a prompt of 20 blocks was sent to "e1" at 1.0
    Then "e1" is expected to have cached at least 19 blocks of the prompt at 2.0
    And "e1" is expected to have cached at most 2 blocks of the prompt at 400.0

  Scenario: The prefix index is bounded
    Given an endpoint table with engines "e1, e2" of 8 slots in zone "a"
    When 30000 prompts of 2 blocks were sent to "e1"
    Then the prefix index holds at most 20000 blocks

  Scenario: Each engine is polled by one host of its zone and all hosts get its load
    # If every host polled every engine, the control traffic would grow with the product
    # of both: tolerable for six hosts, not for 390.
    Given load sharing between hosts "a1, a2, b1" with engines "ea, eb, ec" in zone "a"
    Then each engine is assigned to one host of zone "a"
    When the assigned hosts poll their engines and publish the loads
    Then host "a1" and host "a2" know the load of each engine
    And host "b1" knows the total load of zone "a"

  Scenario: Engines are assigned evenly to the hosts of their zone
    # Plain rendezvous hashing would assign five engines to one host and one to another.
    Given 24 engines and 6 hosts of one zone
    Then each host is assigned 4 engines
    And without one host at most 3 of the other hosts' engines are reassigned

  Scenario: A host prefers the engines assigned to it while they have free slots
    # The host knows the load of these engines exactly, because it sends most of their
    # requests.
    Given an endpoint table with engines "e1, e2, e3, e4" of 8 slots in zone "a"
    And engines "e2, e3" are assigned to this host
    Then the choices of 100 at 0.0 fall on exactly 2 engines
    And no choice of 100 at 0.0 is "e1"
    When 16 requests are sent to "e2" at 1.0
    And 16 requests are sent to "e3" at 1.0
    Then no choice of 100 at 1.1 is "e2"
