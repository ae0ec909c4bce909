Feature: Exchange of digests between six to four hundred hosts

  Scenario Outline: All hosts know each other and their total load
    # Guards against alive hosts that count as dead, and messages that grow with the fleet.
    Given <hosts> hosts in the zones "<zones>" that each run 3 requests at 2 endpoints
    When they have exchanged digests for <seconds> s
    Then every host takes all others to be alive, and knows their total load
    And one host of each zone reads each topic, and one host does each job
    And a host sends at most <messages> messages per second, and zones exchange at most <far> per second

    Examples:
      | hosts | zones   | seconds | messages | far |
      | 6     | abc     | 6.0     | 8        | 40  |
      | 66    | abc     | 5.0     | 8        | 40  |
      | 195   | abcde   | 5.0     | 8        | 120 |
      | 392   | abcdefg | 5.0     | 8        | 240 |

  Scenario: Both aggregators of a zone are killed at once
    # Guards against a zone without aggregators whose other hosts count as dead with them.
    Given 66 hosts in the zones "abc" that each run 3 requests at 2 endpoints
    When they have exchanged digests for 5.0 s
    And the aggregators of zone "a" are killed
    Then within 6.0 s the remaining hosts take exactly each other to be alive
    And every living host was taken to be alive all the time

  Scenario: An aggregator is suspended
    # Guards against an aggregator that resumes with outdated totals and hides the load of others.
    Given 66 hosts in the zones "abc" that each run 3 requests at 2 endpoints
    When they have exchanged digests for 5.0 s
    And an aggregator of zone "b" is suspended for 4.0 s
    Then within 4.0 s every host takes all others to be alive, and knows their total load

  Scenario: Half of all hosts are killed at once
    Given 66 hosts in the zones "abc" that each run 3 requests at 2 endpoints
    When they have exchanged digests for 5.0 s
    And every second host is killed
    Then within 10.0 s the remaining hosts take exactly each other to be alive

  Scenario: A zone is partitioned from the others
    # Guards against hosts of the zone that stay alive in the others, and a zone that does not return.
    Given 66 hosts in the zones "abc" that each run 3 requests at 2 endpoints
    When they have exchanged digests for 5.0 s
    And the hosts of zone "c" are partitioned from the others
    Then within 2.6 s all hosts of the zones "ab" take zone "c" to be silent
    And within 6.0 s the hosts of the zones "ab" take exactly each other to be alive
    When the partition of zone "c" heals
    Then within 4.0 s every host takes all others to be alive, and knows their total load

  Scenario: A zone is partitioned into two halves
    # Guards against halves, each with its own aggregators, that never find each other again.
    Given 66 hosts in the zones "abc" that each run 3 requests at 2 endpoints
    When they have exchanged digests for 5.0 s
    And the hosts of zone "a" are partitioned into two halves for 12.0 s
    Then within 8.0 s every host takes all others to be alive, and knows their total load

  Scenario: Links lose one message in twenty
    Given 66 hosts in the zones "abc" that each run 3 requests at 2 endpoints
    And links that lose 0.05 of the messages
    When they have exchanged digests for 5.0 s
    Then every living host is taken to be alive for the next 5.0 s

  Scenario: A host's own totals are subtracted from the totals that it receives
    # Guards against a host that takes its own requests for those of others.
    Given a host that reported 2 requests at an endpoint, and later 5
    When an aggregator sends totals of 9 that include the first of these reports
    Then the other hosts run 7 requests there
    When an aggregator sends totals of 12 that include the second of these reports
    Then the other hosts run 7 requests there

  Scenario: The loads of a thousand endpoints fit what hosts may send
    # Guards against digests that grow with the number of endpoints.
    Given 102 hosts in the zones "abc" before 1001 endpoints, 60 of which 3 hosts each run 4 requests at
    And every host runs 1 request at each of 8 others
    When they have exchanged digests for 6.0 s
    Then every host knows the exact load of the 60 endpoints, and the total load within 0.1
    And a host sends at most 9 KB per second on average

  Scenario: The totals over the most hosts are used
    # Guards against an aggregator that has just started and hides the load of the fleet.
    Given a host that reported 2 requests at an endpoint, and later 5
    When an aggregator sends totals of 40 over 20 hosts, and a newer one totals of 4 over 2
    Then the other hosts run 40 requests there

  Scenario Outline: A message that is no valid digest of a peer changes nothing
    # Guards against damaged messages, and those of other versions, that change totals or rosters.
    Given a host that exchanges digests with a peer
    When it receives a message that is <kind>
    Then its state is unchanged, and the message is <outcome>

    Examples:
      | kind                     | outcome    |
      | truncated                | unreadable |
      | of an unknown tag        | unreadable |
      | with damaged totals      | unreadable |
      | older than the last one  | ignored    |
      | an unrequested roster    | ignored    |

  Scenario Outline: An odd entry among the registered hosts ends none that reads it: <entry>
    # Guards against hosts that end again and again while another writer's entry is registered.
    Given a host that exchanges digests with a peer
    When it reads that "10.9.9.9:1" is registered with <entry>
    Then it still hears the peer

    Examples:
      | entry                  |
      | 100000 nested lists    |
      | a list in place of all |
      | bytes that are no text |
      | nothing                |

  Scenario: A message whose handling fails is logged and counted, and the next one is handled
    # Guards against a host that answers no more messages, of which only a bare traceback tells.
    Given a host that exchanges digests with a peer
    And it lists an endpoint that no message can tell of
    When the peer asks it for its list, and then sends a digest
    Then the failure is logged with the kind "StateRequest" of the message
    And the digest has been applied
