Feature: Orders load versions on engines, and outdated orders are reverted

  Rule: With hosts and engines as processes

    @fixture.order_fleet
    Scenario: A version that no engine holds is loaded and then served
      # The engines start empty. The zone's lease holder requests weights from the store
      # and sends orders; the version is routed only once the engines' reports show it.
      Given the weight store is down
      And the order document is in force
      When a client asks host "a1" before any version is loaded
      Then the answer is "no_endpoint", not run, with a retry delay
      And the status shows that "larch:1" is coming in zone "a"
      When the weight store is back
      Then every zone's engines eventually hold "larch:1 spruce:1"
      When a client of "borough-north" asks host "a1" for a "note"
      Then the answer has 40 words and a usage
      And no engine loaded a version twice

    @fixture.order_fleet
    Scenario: The holder of a zone's lease is killed during a load
      # The other host of the zone polls the engines, so it must neither start the
      # running load again nor leave the remaining ones undone.
      Given loads take 8 s
      And the order document is in force
      When the lease holder of zone "a" is killed while an engine is loading
      Then another host sends orders in zone "a" with a higher fencing number
      And every zone's engines eventually hold "larch:1 spruce:1"
      And no engine loaded a version twice

  Rule: Decisions, with engines in memory and simulated time

    Background:
      Given 2 zones of 2 hosts and 2 engines with room for 2, "larch:1 spruce:1" offered

    Scenario: The holder is paused between deciding on an order and sending it
      # The holder's clock went on during the pause. The lease is checked in the same
      # step that sends the order and is found expired, so no order is sent, whatever
      # the engine would do.
      Given the engines ignore fencing numbers
      And the versions are loaded
      When the holder decides on an order, is paused until another host takes over, and goes on
      Then it does not send the order

    Scenario: A paused holder's outdated order reaches an engine that checks fencing numbers
      # The old holder sent its order, was paused, and lost its lease. The new holder's
      # first orders carry a higher fencing number to every engine, so the outdated one
      # is refused; its sender counts that and checks its lease again.
      Given the versions are loaded
      When the holder's order for other versions is stuck while another host takes over
      And the stuck order is delivered
      Then the engine refused it, which its sender counted
      And within 2 s the engines follow the new holder

    Scenario: A paused holder's outdated order reaches an engine that ignores fencing numbers
      # The engine accepts the outdated order and unloads what it held. The new holder
      # polls every engine at least every 5 s, finds that it follows another order, and
      # sends its own again: 7 s at most. What the outdated order started to load is
      # dropped.
      Given the engines ignore fencing numbers
      And loads take 10 s in memory
      And the versions are loaded
      When the holder's order for other versions is stuck while another host takes over
      And the stuck order is delivered
      Then an engine follows the outdated order
      And within 7 s the engines follow the new holder
      And what the outdated order began to load is dropped

    Scenario: An outdated order adds a version to an engine that ignores fencing numbers
      # The load reports don't change while the version is loading: only the poll of
      # each engine every 5 s finds it.
      Given the engines ignore fencing numbers
      And loads take 10 s in memory
      And the versions are loaded
      When the holder's order for one version more is stuck while another host takes over
      And the stuck order is delivered
      Then an engine follows the outdated order
      And within 7 s the engines follow the new holder
      And what the outdated order began to load is dropped

    Scenario: The version of an outdated order is loaded before the new holder notices
      # The engine is full, and hosts may have open streams of that version by then, so
      # it is drained before it is unloaded: that takes some seconds more when none is
      # open.
      Given the engines ignore fencing numbers
      And loads take 0 s in memory
      And "larch:1 spruce:1 yew:1 fir:1" are loaded
      When the holder's order for other versions is stuck while another host takes over
      And the stuck order is delivered
      And the version of the outdated order is loaded
      Then within 15 s the engines follow the new holder

    Scenario: Two hosts send orders at once
      # One host goes on although its lease expired, as with a clock that stands still.
      # Both plan from the same reports, so their plans agree, and nothing is loaded
      # twice.
      Given the engines ignore fencing numbers
      And the versions are loaded
      When a second host of zone "a" goes on with an old lease for 60 s
      Then zone "a" holds "larch:1 spruce:1"
      And no engine in memory started a load twice

    Scenario: The holder dies before its plan is complete
      Given loads take 20 s in memory
      When the holder of zone "a" dies while a load is under way
      And 90 s pass for the orders
      Then zone "a" holds "larch:1 spruce:1"
      And no engine in memory started a load twice

    Scenario: The weight store refuses requests for a long time
      # The store is probed by one request at a time with increasing pauses; loaded
      # versions are served meanwhile.
      Given the versions are loaded
      And the store refuses requests
      When "yew:1" is offered too
      And "fir:1" is offered too
      And 120 s pass for the orders
      Then zone "a" holds "larch:1 spruce:1"
      And callers are told when "yew:1" is expected to be loaded
      And the store was asked at most 20 times
      When the store accepts requests again
      And 60 s pass for the orders
      Then zone "a" holds "larch:1 spruce:1 yew:1 fir:1"

    Scenario: The weight store is slow
      Given each request to the store takes 20 s
      When 60 s pass for the orders
      Then zone "a" holds "larch:1 spruce:1"
      And no version was fetched twice for an engine

    Scenario: A version that an open session is pinned to is not unloaded
      # Five versions need room where four fit, and two of them have much more demand than
      # the session's. The last copy of the session's version stays; a version without
      # demand is evicted.
      Given "larch:1 spruce:1 yew:1 fir:1" are loaded
      And a session at host "a1" is pinned to "larch:1"
      When "oak:1" is offered too
      And 40 requests for "oak:1" are open at host "a2"
      And 300 s pass for the orders
      Then zone "a" held "larch:1" all the time
      And zone "a" holds "larch:1 oak:1"

    Scenario: Sessions are pinned to all loaded versions
      # A fifth version is needed by a session too, and by many requests. These are
      # refused with a retry delay, and no last copy of the other sessions' versions is
      # evicted.
      Given "larch:1 spruce:1 yew:1 fir:1" are loaded
      And sessions at host "a1" are pinned to "larch:1 spruce:1 yew:1 fir:1"
      When "oak:1" is offered too
      And 40 requests of sessions for "oak:1" are open at host "a2"
      And 300 s pass for the orders
      Then zone "a" held "larch:1 spruce:1 yew:1 fir:1" all the time
      And callers are told when "oak:1" is expected to be loaded

    Scenario: An unload waits for open streams
      # The version gets no new requests at the engine at once; the order that unloads
      # it is sent when no host has a request for it open there.
      Given "larch:1 spruce:1 yew:1 fir:1" are loaded
      And a stream of "fir:1" is open at host "b1"
      And only "larch:1 spruce:1 yew:1 oak:1" are offered
      When 40 s pass for the orders
      Then zone "a" holds "fir:1"
      And no host routes "fir:1" to zone "a"
      When the stream of "fir:1" ends
      And 40 s pass for the orders
      Then zone "a" holds "larch:1 spruce:1 yew:1 oak:1"

    Scenario: A new holder polls every engine before it plans
      # It can't poll all of them in one round. If it planned with the first ones alone,
      # it would load what the others already hold.
      Given 1 zones of 2 hosts and 150 engines with room for 1, "larch:1" offered
      And the last engine already holds "larch:1"
      When 60 s pass for the orders
      Then the store gave out no weights

    Scenario: An isolated zone still loads versions on its own engines
      Given zone "a" is cut off from the others
      When 60 s pass for the orders
      Then zone "a" holds "larch:1 spruce:1"
      And zone "b" holds "larch:1 spruce:1"

    Scenario: Each of many zones has a lease holder of its own
      # A lease has three candidates. If they were chosen from all zones, some zones
      # would have none that knows their engines.
      Given 7 zones of 2 hosts and 2 engines with room for 2, "larch:1 spruce:1" offered
      When 90 s pass for the orders
      Then every zone has one lease holder and holds "larch:1 spruce:1"

    Scenario: An engine restarts empty
      # The weights that the store gave to the old process are lost with it.
      Given the versions are loaded
      When the engines of zone "a" restart empty
      And 60 s pass for the orders
      Then zone "a" holds "larch:1 spruce:1"
      And the store gave out each version twice for zone "a"

    Scenario: An engine stops answering, and its version is placed elsewhere
      # After 15 s without an answer the engine is dropped, and its versions are placed
      # elsewhere.
      Given the versions are loaded
      When an engine of zone "a" that holds "larch:1" stops answering
      And 60 s pass for the orders
      Then another engine of zone "a" holds "larch:1"

    Scenario: The log is unavailable
      # Without a lease no orders are sent; what is loaded stays.
      Given the versions are loaded
      When the log is down for the orders
      And 20 s pass for the orders
      And "yew:1" is offered too
      And 60 s pass for the orders
      Then zone "a" holds "larch:1 spruce:1"
      And no order was sent after the lease expired
      When the log is up for the orders
      And 120 s pass for the orders
      Then zone "a" holds "larch:1 spruce:1 yew:1"

    Scenario: Copies follow the demand, and fluctuating demand moves none
      # Three versions have room for four copies. The fourth copy goes to the version
      # with the higher load per copy, and stays there although the two versions take
      # turns in having the higher load.
      Given "larch:1 spruce:1 yew:1" are loaded
      When host "a1" has 14 requests open for "larch:1" and 5 for "spruce:1"
      And 120 s pass for the orders
      Then 2 engines of zone "a" hold "larch:1"
      When 14 and 5 requests for "larch:1" and "spruce:1" alternate at host "a1" for 600 s
      Then nothing was loaded or unloaded in that time

    Scenario: A copy is moved to free room that another version can use
      # The only free room is at an engine that holds larch already. Another version is
      # loaded there first, and its old copy is evicted only then.
      Given the engines of zone "a" already hold "larch:1" and "spruce:1 yew:1"
      And "larch:1 spruce:1 yew:1" are loaded
      When host "a1" has 14 requests open for "larch:1" and 5 for "spruce:1"
      And 120 s pass for the orders
      Then 2 engines of zone "a" hold "larch:1"
      And zone "a" held "larch:1 spruce:1 yew:1" all the time
