Feature: Parts of prompts that crash engines, at six to four hundred hosts

  Scenario Outline: Requests with a part that crashes engines are refused by <hosts> hosts, <others>
    # Guards against requests that crash one engine after the other, by any host and by second sends.
    Given <hosts> hosts before <engines> engines, and <sound> sound requests a second
    When <bad> requests a second with a part that crashes engines come at any host for <seconds> s
    And <others>
    Then at most 3 requests with the part reached an engine later than 3 s after the fifth crash
    And sound requests with each first part begin at least half as often as before, from 6 s after it
    And no host refuses anything else

    Examples:
      | hosts | engines | sound | bad  | seconds | others                       |
      | 6     | 6       | 15.0  | 4.0  | 14      | no engine crashes otherwise  |
      | 6     | 6       | 15.0  | 1.0  | 14      | no engine crashes otherwise  |
      | 6     | 6       | 15.0  | 4.0  | 14      | 0.5 engines a second crash   |
      | 79    | 24      | 60.0  | 8.0  | 14      | no engine crashes otherwise  |
      | 79    | 24      | 60.0  | 8.0  | 14      | 2.0 engines a second crash   |

  Scenario Outline: No prompt is refused because <hosts> hosts see plain crashes
    # Guards against prompts that are blamed for crashes of another cause.
    Given <hosts> hosts before <engines> engines, and <sound> sound requests a second
    When a third of the engines crash at once
    And 2.0 engines a second crash
    Then no host refuses anything

    Examples:
      | hosts | engines | sound |
      | 6     | 6       | 15.0  |
      | 79    | 24      | 60.0  |

  Scenario Outline: A request that ends engines is refused by <hosts> hosts, <count> of them at once
    # Guards against a request that each of its callers' repeats takes to another host.
    Given <hosts> hosts before <engines> engines, and <sound> sound requests a second
    When <count> requests that end engines are repeated each 0.5 s at any host for 8 s, and <plain> engines a second crash
    Then none of them reached an engine later than 1 s after the third end under it
    And all hosts refuse these requests, and few others, under which three engines ended too

    Examples:
      | hosts | engines | sound | count | plain |
      | 6     | 6       | 15.0  | 1     | 0.0   |
      | 6     | 12      | 15.0  | 3     | 0.5   |
      | 79    | 24      | 60.0  | 1     | 0.0   |
      | 79    | 24      | 60.0  | 4     | 1.0   |

  Scenario: A request that ends engines is refused by a host that starts, or was cut off
    # Guards against hosts that missed the messages about the ends.
    Given 6 hosts before 12 engines, and 15.0 sound requests a second
    When host 0 is cut off from the other hosts
    And 2 requests that end engines are repeated each 0.5 s at any host for 4 s, and 0.0 engines a second crash
    And the links between the hosts are mended, and 8 s go by
    Then all hosts refuse these requests, and few others, under which three engines ended too
    When host 0 starts again with nothing of what it knew, and 3 s go by
    Then all hosts refuse these requests, and few others, under which three engines ended too

  Scenario: A host that starts refuses what the others do
    Given 6 hosts before 6 engines, and 15.0 sound requests a second
    When 4.0 requests a second with a part that crashes engines come at any host for 6 s
    And a host starts again with nothing of what it knew
    Then it refuses the part as soon as it has heard another host

  Scenario: A host that was cut off from the others refuses what they do once it hears them
    Given 6 hosts before 6 engines, and 15.0 sound requests a second
    When host 0 is cut off from the other hosts
    And 4.0 requests a second with a part that crashes engines come at any host for 6 s
    And the links between the hosts are back for 2 s
    Then all hosts refuse the part, and nothing else

  Scenario: Ever new parts fill no table and bring no other caller's prompts into quarantine
    Given 6 hosts before 6 engines, and 15.0 sound requests a second
    When 5.0 requests a second come for 14 s, each with 20 new parts and one of 6 that crash engines
    Then all parts that are refused crash engines
    And no crash has more than 64 suspects, and no more than 64 groups are refused
