Feature: Enough answers are rated to detect a version that becomes bad

  Scenario: A version in service becomes bad while requests are few
    # Guards against rating only one in twenty answers of a well-known version: at five requests a
    # second, one rating arrives in four seconds, and callers get up to 163 bad answers before the
    # withdrawal. All hosts together rate the version at least once a second.
    Given simulated fleets of 6 hosts with 5 requests a second and ratings 1 s late
    When the version in service becomes bad in each
    Then it is withdrawn in each after at most 80 bad answers

  Scenario Outline: Hosts divide the minimum rate of ratings among them
    # Guards against applying the minimum at each host, which would make ratings grow with the fleet.
    Given a sampler at one of <hosts> hosts
    When 20 answers a second of a well-known version come for 1000 s
    Then <rated> of them are rated, give or take a tenth

    Examples:
      | hosts | rated |
      | 6     | 1100  |
      | 390   | 1000  |
