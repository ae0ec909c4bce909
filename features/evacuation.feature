Feature: Zones that operators evacuate

  Scenario Outline: No request in any way of choosing reaches an endpoint of an evacuated zone
    Given a placement of engines in the zones "a, b, c" and a peer table that heard hosts of "b, c"
    When the zone "a" is evacuated
    Then 50 requests <way> go to "b" and "c" only

    Examples:
      | way                              |
      | sent first                       |
      | sent again                       |
      | whose prompt was read there      |
      | of a version on trial            |
      | for a larger model               |
      | while the others are unavailable |

  Scenario: A request whose zones are all evacuated is refused at once as not run
    Given a dispatcher with endpoints in the zones "a, b"
    When the zones "a, b" are evacuated
    Then a request is refused at once as not run, because of "evacuated zones: a, b"

  Scenario: A request that waited for a connection is not sent into a zone evacuated meanwhile
    Given a dispatcher with endpoints in the zones "a, b"
    When the zone of a chosen endpoint is evacuated before the request is sent
    Then it is withheld, and chosen for the other zone

  Scenario: Orders that arrive in any sequence lead to the same zones
    Given the orders "a +3, b +4, a -7, b -9, b +12, c +13"
    When 20 hosts apply them in different sequences, some of them twice
    Then all of them evacuate "b, c"

  Scenario: An order that a compaction removed holds until a full list lacks it
    Given the orders "a +3, b +4"
    When a host applies them and then a list of the zones "b" up to offset 9
    Then it evacuates "b"
    When the order "a +8" arrives late
    Then it evacuates "b"
    When the order "a +9" arrives late
    Then it evacuates "a, b"

  Scenario Outline: An unreadable order has no effect
    Then the order "<key>" with the value <value> is ignored because of "<field>"

    Examples:
      | key             | value   | field    |
      | evacuate/       | {}      | zone     |
      | evacuate/scot-a | []      | document |
      | evacuate/scot-a | "x"     | document |
      | evacuate/scot-a | {broken | document |

  Scenario Outline: Hosts that the store rejects learn of an order from their peers
    Given <hosts> hosts in the zones "<zones>" that know each other
    When one host of each zone reads an order to evacuate "a"
    Then within 3.0 s all of them evacuate "a"
    When a host is killed and started again while no host reads the store
    Then within 3.0 s all of them evacuate "a"
    When one host reads that the order is lifted
    Then within 4.0 s none of them evacuates a zone

    Examples:
      | hosts | zones   |
      | 6     | abc     |
      | 79    | abc     |
      | 390   | abcdefg |

  @each.installation
  Scenario: Callers are served elsewhere until the zone is taken back
    Given an endpoint "stock-b" of "stock" in the zone "b"
    When the operators evacuate the zone "a"
    Then soon all lookups are answered by "stock-b"
    When the operators evacuate the zone "b" too
    Then soon a lookup is refused as not run with a Retry-After header
    When the operators take both zones back
    Then soon lookups are answered again
    And the log contains "A zone was evacuated or taken back."

  Scenario: A second send that is withheld spends no further retry
    # Guards against a retry budget that a zone's evacuation uses up without a single send.
    Given a dispatcher with endpoints in the zones "a, b"
    When a request fails once, and its second send is withheld 3 times
    Then one retry is spent

  Scenario: A helper relays nothing to an endpoint in a zone that it knows to be evacuated
    # Guards against requests to an evacuated zone by a host that hears of the order later.
    Given a helper that relays "request-1" to an endpoint
    When the helper learns that the zone of the endpoint is evacuated
    Then the helper keeps away from it
    When the helper learns that the zone is taken back
    Then the helper does not keep away from it
