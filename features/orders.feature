Feature: The system orders which engine holds which version, and old orders do no lasting harm

  Rule: With hosts and engines as processes

    @fixture.order_fleet
    Scenario: A version that no engine holds is loaded, then served
      # The engines start empty. The zone's sender of orders asks the weight store,
      # orders, and the engines' reports show the version; only then is it routed.
      Given the weight store is out
      And the order document is in force
      When a client asks host "a1" before anything is loaded
      Then the answer is "no_endpoint", not run, with a time to come back
      And the status tells that "larch:1" is coming in zone "a"
      When the weight store is back
      Then every zone's engines come to hold "larch:1 spruce:1"
      When a client of "borough-north" asks host "a1" for a "note"
      Then the answer has 40 words and a usage
      And no engine loaded a version twice

    @fixture.order_fleet
    Scenario: The sender of a zone's orders is killed halfway through a load
      # The other host of the zone reads from the engines what is loading there,
      # so it neither begins that load again nor leaves the rest undone.
      Given loads take 8 s
      And the order document is in force
      When the sender of zone "a" is killed while an engine loads
      Then another host sends orders in zone "a" with a higher number
      And every zone's engines come to hold "larch:1 spruce:1"
      And no engine loaded a version twice

  Rule: Decisions, with engines in memory and a clock of their own

    Background:
      Given 2 zones of 2 hosts and 2 engines with room for 2, "larch:1 spruce:1" offered

    Scenario: The holder is paused between its decision and the handing over
      # Its clock went on: the look at the lease in the step that hands the order
      # over finds none, so nothing leaves, whatever the engine would do.
      Given the engines ignore fencing numbers
      And the versions are loaded
      When the holder decides on an order, is paused until another host took over, and goes on
      Then it kept the order back

    Scenario: A paused holder's late order reaches an engine that checks fencing numbers
      # The old holder handed its order over, was paused, and lost its lease. The
      # new holder's first orders carry a higher number to every engine, so the
      # late one is refused; its sender counts that and reads its lease anew.
      Given the versions are loaded
      When the holder's order for other versions is stuck while another host takes over
      And the stuck order gets through
      Then the engine refused it, which its sender counted
      And within 2 s the engines follow the new holder

    Scenario: A paused holder's late order reaches an engine that ignores fencing numbers
      # It takes the late order and drops what it held. The new holder reads every
      # engine at least every 5 s, sees that it follows another order, and sends its
      # own again: 7 s at most. What the late order began to load is dropped.
      Given the engines ignore fencing numbers
      And loads take 10 s in memory
      And the versions are loaded
      When the holder's order for other versions is stuck while another host takes over
      And the stuck order gets through
      Then an engine follows the late order
      And within 7 s the engines follow the new holder
      And what the late order began to load is dropped

    Scenario: A late order adds to what an engine holds that ignores fencing numbers
      # The load reports show nothing while the version loads: only the look at each
      # engine every 5 s finds it.
      Given the engines ignore fencing numbers
      And loads take 10 s in memory
      And the versions are loaded
      When the holder's order for one version more is stuck while another host takes over
      And the stuck order gets through
      Then an engine follows the late order
      And within 7 s the engines follow the new holder
      And what the late order began to load is dropped

    Scenario: A late order's version was loaded before the new holder noticed
      # The engine is full, and hosts may have streams of that version by then, so it
      # drains before it leaves: some seconds more when none is open.
      Given the engines ignore fencing numbers
      And loads take 0 s in memory
      And "larch:1 spruce:1 yew:1 fir:1" are loaded
      When the holder's order for other versions is stuck while another host takes over
      And the stuck order gets through
      And the late order's version was loaded
      Then within 15 s the engines follow the new holder

    Scenario: Two hosts send orders at once
      # One goes on although its lease lapsed, as with a clock that stands still.
      # Both plan from the same reports, so their sets agree, and nothing is loaded twice.
      Given the engines ignore fencing numbers
      And the versions are loaded
      When a second host of zone "a" goes on under an old lease for 60 s
      Then zone "a" holds "larch:1 spruce:1"
      And no engine in memory began a load twice

    Scenario: The holder dies in the middle of its plan
      Given loads take 20 s in memory
      When the holder of zone "a" dies while a load is under way
      And 90 s pass for the orders
      Then zone "a" holds "larch:1 spruce:1"
      And no engine in memory began a load twice

    Scenario: The weight store refuses for long
      # One try at a time with growing pauses; what is loaded is served meanwhile.
      Given the versions are loaded
      And the store refuses
      When "yew:1" is offered too
      And "fir:1" is offered too
      And 120 s pass for the orders
      Then zone "a" holds "larch:1 spruce:1"
      And callers are told when "yew:1" may come
      And the store was asked at most 20 times
      When the store hands out again
      And 60 s pass for the orders
      Then zone "a" holds "larch:1 spruce:1 yew:1 fir:1"

    Scenario: The weight store is slow
      Given the store takes 20 s
      When 60 s pass for the orders
      Then zone "a" holds "larch:1 spruce:1"
      And no version was fetched twice for an engine

    Scenario: A version that an open session keeps is not unloaded
      # Five versions want four places, and two are asked for much more than the
      # session's. Its last copy stays; a version that nobody asks for goes.
      Given "larch:1 spruce:1 yew:1 fir:1" are loaded
      And a session at host "a1" keeps "larch:1"
      When "oak:1" is offered too
      And 40 requests for "oak:1" are open at host "a2"
      And 300 s pass for the orders
      Then zone "a" held "larch:1" all the time
      And zone "a" holds "larch:1 oak:1"

    Scenario: Sessions keep all the room
      # A fifth version is asked for by a session too, and by many. Its callers are
      # refused with a time rather than the other sessions' last copies taken.
      Given "larch:1 spruce:1 yew:1 fir:1" are loaded
      And sessions at host "a1" keep "larch:1 spruce:1 yew:1 fir:1"
      When "oak:1" is offered too
      And 40 requests of sessions for "oak:1" are open at host "a2"
      And 300 s pass for the orders
      Then zone "a" held "larch:1 spruce:1 yew:1 fir:1" all the time
      And callers are told when "oak:1" may come

    Scenario: An unload waits for the open streams
      # The version gets no new work at the engine at once; the order that drops it
      # goes out when no host has a request of it open there.
      Given "larch:1 spruce:1 yew:1 fir:1" are loaded
      And a stream of "fir:1" is open at host "b1"
      And only "larch:1 spruce:1 yew:1 oak:1" are offered
      When 40 s pass for the orders
      Then zone "a" holds "fir:1"
      And no host routes "fir:1" to zone "a"
      When the stream of "fir:1" ends
      And 40 s pass for the orders
      Then zone "a" holds "larch:1 spruce:1 yew:1 oak:1"

    Scenario: A new holder looks at every engine before it plans
      # It can't look at all of them in one round. Planning on the first ones alone,
      # it would load what the others hold.
      Given 1 zones of 2 hosts and 150 engines with room for 1, "larch:1" offered
      And the last engine already holds "larch:1"
      When 60 s pass for the orders
      Then the store handed nothing out

    Scenario: A zone that is cut off from the others still orders inside
      Given zone "a" is cut off from the others
      When 60 s pass for the orders
      Then zone "a" holds "larch:1 spruce:1"
      And zone "b" holds "larch:1 spruce:1"

    Scenario: Every zone of many has a sender of its own
      # A lease has three candidates; were they drawn from all zones, some zones
      # would have none that knows their engines.
      Given 7 zones of 2 hosts and 2 engines with room for 2, "larch:1 spruce:1" offered
      When 90 s pass for the orders
      Then every zone has one sender and holds "larch:1 spruce:1"

    Scenario: An engine restarts empty
      # What the store handed to the process that ended is gone with it.
      Given the versions are loaded
      When the engines of zone "a" restart empty
      And 60 s pass for the orders
      Then zone "a" holds "larch:1 spruce:1"
      And the store handed each version out twice for zone "a"

    Scenario: An engine falls silent, and its version goes elsewhere
      # After 15 s without an answer it counts for nothing; others take over.
      Given the versions are loaded
      When an engine of zone "a" that holds "larch:1" falls silent
      And 60 s pass for the orders
      Then another engine of zone "a" holds "larch:1"

    Scenario: The log is out
      # No lease, no new orders; what is loaded stays.
      Given the versions are loaded
      When the log is out for the orders
      And 20 s pass for the orders
      And "yew:1" is offered too
      And 60 s pass for the orders
      Then zone "a" holds "larch:1 spruce:1"
      And no order came after the lease lapsed
      When the log is back for the orders
      And 120 s pass for the orders
      Then zone "a" holds "larch:1 spruce:1 yew:1"

    Scenario: Copies follow the demand, and a demand that wavers moves nothing
      # Three versions have four places. The fourth goes to the fuller one, and
      # stays there although the two are the fuller one in turn.
      Given "larch:1 spruce:1 yew:1" are loaded
      When host "a1" has 14 requests open for "larch:1" and 5 for "spruce:1"
      And 120 s pass for the orders
      Then 2 engines of zone "a" hold "larch:1"
      When 14 and 5 requests for "larch:1" and "spruce:1" take turns at host "a1" for 600 s
      Then nothing was loaded or unloaded in that time

    Scenario: A copy moves to make room beside another
      # Free room beside larch is of no use to larch. Another version is loaded there
      # first, and gives its old place up only then.
      Given the engines of zone "a" already hold "larch:1" and "spruce:1 yew:1"
      And "larch:1 spruce:1 yew:1" are loaded
      When host "a1" has 14 requests open for "larch:1" and 5 for "spruce:1"
      And 120 s pass for the orders
      Then 2 engines of zone "a" hold "larch:1"
      And zone "a" held "larch:1 spruce:1 yew:1" all the time
