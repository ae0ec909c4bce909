Feature: Endpoints that are warming up

  Scenario Outline: All hosts together keep to the rate of an endpoint that warms up
    # Load: each host sends whenever it may, as when a zone of endpoints returns idle.
    Given <hosts> hosts in 3 zones, and an endpoint that tolerates 8.4 requests a second
    When the hosts <state>
    Then they send at most 17 requests in any second
    And those of the endpoint's zone send at least <least> in each second

    Examples:
      | hosts | state                                        | least |
      | 6     | all hear each other                          | 7.56  |
      | 79    | all hear each other                          | 7.56  |
      | 390   | all hear each other                          | 7.56  |
      | 6     | are cut into zones                           | 7.56  |
      | 79    | are cut into zones                           | 7.56  |
      | 390   | are cut into zones                           | 7.56  |
      | 79    | are cut into two halves                      | 7.56  |
      | 390   | are cut into two halves                      | 7.56  |
      | 79    | are cut off one by one, a third of them      | 7.56  |
      | 390   | are cut off one by one, a third of them      | 7.56  |
      | 79    | lose a fifth of them                         | 7.56  |
      | 390   | lose a fifth of them                         | 7.56  |
      | 79    | are all suspended for a second, then resumed | 0.0   |
      | 390   | start, and don't know the others yet         | 0.0   |

  Scenario Outline: Low rates are used up and not exceeded
    Given <hosts> hosts in 3 zones, and an endpoint that tolerates <rate> requests a second
    When the hosts all hear each other
    Then they send at most <most> requests in any second
    And those of the endpoint's zone send at least <least> in each second

    Examples:
      | hosts | rate | most | least |
      | 6     | 1.0  | 6    | 0.9   |
      | 79    | 1.9  | 7    | 1.71  |
      | 9     | 4.0  | 11   | 3.6   |
      | 390   | 14.0 | 26   | 12.6  |

  Scenario Outline: An endpoint that may be cold gets no more than this host's share
    Given a dispatcher whose host may send 2 requests a second to an endpoint that warms up
    When the only endpoint <event>
    Then 2 of 10 requests within a second are sent there, and 8 refused as not run
    And <later> s later 10 of 10 requests are sent there

    Examples:
      | event                                              | later |
      | says that it warms up for 3.0 s                    | 4.0   |
      | is restarted, which its record says                | 4.0   |
      | is back after an attempt got no connection         | 4.0   |
      | is back after the other hosts did not reach it     | 4.0   |
      | is in a zone that is taken back from an evacuation | 4.0   |

  Scenario: An endpoint that says it is another instance is not taken for failed
    Given a dispatcher whose host may send 2 requests a second to an endpoint that warms up
    When the only endpoint rejects a request as full
    Then 10 of 10 requests within a second are sent there, and 0 refused as not run

  Scenario: The configuration and the settings say what an endpoint tolerates
    Then a service with coldStartS 3.0 and coldPerS 8.4 tolerates 8.4 a second for 3.0 s
    And a service without them tolerates any number
    And a service with coldPerS -1 is ignored because of "services.0.coldPerS"

  Scenario: A single host keeps to a high rate too
    # Guards against a memory of sends that is shorter than what the host may send in a second.
    Given an only host before an endpoint that tolerates 100 requests a second
    Then 100 of 150 requests within a second are sent there, and 50 refused as not run
