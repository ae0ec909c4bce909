Feature: Enough answers are rated to notice what turns bad

  Scenario: A version in service turns bad where requests are few
    # Of a settled version one answer in twenty was rated: with five requests a second
    # a rating came each four seconds, and callers got up to 163 bad answers until it
    # was withdrawn. All hosts together now rate it once a second at the least.
    Given simulated fleets of 6 hosts with 5 requests a second and ratings 1 s late
    When the version that serves turns bad in each
    Then it is withdrawn in each after at most 80 bad answers

  Scenario Outline: Hosts share the least rate of ratings
    # Were it each host's own, ratings would grow with the fleet.
    Given a sampler at one of <hosts> hosts
    When 20 answers a second of a settled version come for 1000 s
    Then <rated> of them are rated, give or take a tenth

    Examples:
      | hosts | rated |
      | 6     | 1100  |
      | 390   | 1000  |
