Feature: Requests that end engines, at four hundred hosts

  Scenario Outline: A request that ends engines is refused by <hosts> hosts, <count> of them at once
    # Guards against a request that each of its callers' repeats takes to another host.
    Given <hosts> hosts before <engines> engines, and <sound> sound requests a second
    When <count> requests that end engines are repeated each 0.5 s at any host for 5 s, and <plain> engines a second crash
    Then none of them reached an engine later than 1 s after the third end under it
    And all hosts refuse these requests, and few others, under which three engines ended too

    Examples:
      | hosts | engines | sound | count | plain |
      | 390   | 60      | 60.0  | 3     | 1.0   |
