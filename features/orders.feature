Feature: The system orders which engine holds which version, and old orders do no lasting harm

  Rule: With hosts and engines as processes

    @fixture.order_fleet
    Scenario: A version that no engine holds is loaded, then served
      # The engines start empty. The zone's sender of orders asks the weight store,
      # orders, and the engines' reports show the version; only then is it routed.
      Given the order document is in force
      When a client asks host "a1" before anything is loaded
      Then the answer is "no_endpoint", not run, with a time to come back
      And every zone's engines come to hold "larch:1 spruce:1"
      When a client of "borough-north" asks host "a1" for a "note"
      Then the answer has 40 words and a usage
      And no engine loaded a version twice

    @fixture.order_fleet
    Scenario: The sender of a zone's orders is killed halfway through a load
      # The other host of the zone reads from the engines what is loading there,
      # so it neither begins that load again nor leaves the rest undone.
      Given loads take 3 s
      And the order document is in force
      When the sender of zone "a" is killed while an engine loads
      Then every zone's engines come to hold "larch:1 spruce:1"
      And no engine loaded a version twice
