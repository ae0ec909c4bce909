Feature: Hosts that share the rate that an endpoint names

  Scenario Outline: Hosts that exchange digests keep to a limit while <what>
    # Guards against shares that overlap while hosts learn of a limit, a cut or a host that returns.
    Given <hosts> hosts that exchange digests, before one endpoint
    When the endpoint names a limit of <rate> requests a second
    And <what>
    Then from 3 s after that on, hosts that were told sent at most <most> requests in any 4 s
    And all hosts together sent no more, once all of them had heard of the limit

    Examples:
      | hosts | rate | most | what                                                           |
      | 6     | 1.0  | 11   | nothing else happens                                           |
      | 78    | 2.0  | 17   | nothing else happens                                           |
      | 195   | 2.0  | 17   | nothing else happens                                           |
      | 6     | 1.0  | 11   | zone "a" is cut off for 12 s, then heard again                 |
      | 78    | 2.0  | 17   | zone "a" is cut off for 12 s, then heard again                 |
      | 78    | 2.0  | 17   | half of zone "a" is cut off from the other for 12 s            |
      | 6     | 1.0  | 11   | one host after the other is restarted, each 3 s                |
      | 78    | 2.0  | 17   | a host of zone "a" after the other is suspended for 5 s         |
