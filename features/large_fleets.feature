Feature: Hosts that hear each other, from six to four hundred

  Scenario Outline: All hosts know each other and the sum of what they run
    # Guards against living hosts that count as dead, and messages that grow with the fleet.
    Given <hosts> hosts in the zones "<zones>" that each run 3 requests at 2 endpoints
    When they have talked for <seconds> s
    Then every host takes all others to be alive, and knows what they run
    And one host of each zone reads each topic, and one host has each duty
    And a host sends at most <messages> messages a second, and at most <far> of all pass between zones

    Examples:
      | hosts | zones   | seconds | messages | far |
      | 6     | abc     | 6.0     | 8        | 40  |
      | 66    | abc     | 5.0     | 8        | 40  |
      | 195   | abcde   | 5.0     | 8        | 120 |
      | 392   | abcdefg | 5.0     | 8        | 240 |

  Scenario: Both relays of a zone are killed at once
    # Guards against a zone that nobody adds up for, and whose living hosts count as dead with its relays.
    Given 66 hosts in the zones "abc" that each run 3 requests at 2 endpoints
    When they have talked for 5.0 s
    And the relays of zone "a" are killed
    Then within 6.0 s all that are left take each other, and nobody else, to be alive
    And every living host was taken to be alive all the time

  Scenario: A relay is suspended
    # Guards against a relay that wakes with what it knew before, and hides what others run.
    Given 66 hosts in the zones "abc" that each run 3 requests at 2 endpoints
    When they have talked for 5.0 s
    And a relay of zone "b" is suspended for 4.0 s
    Then within 4.0 s every host takes all others to be alive, and knows what they run

  Scenario: Half of all hosts are killed at once
    Given 66 hosts in the zones "abc" that each run 3 requests at 2 endpoints
    When they have talked for 5.0 s
    And every second host is killed
    Then within 10.0 s all that are left take each other, and nobody else, to be alive

  Scenario: A zone is cut off
    # Guards against hosts of a cut zone that count as alive in the others, and a zone that does not come back.
    Given 66 hosts in the zones "abc" that each run 3 requests at 2 endpoints
    When they have talked for 5.0 s
    And the hosts of zone "c" are cut off
    Then within 2.6 s all hosts of the zones "ab" take zone "c" to be silent
    And within 6.0 s the hosts of the zones "ab" take each other, and nobody else, to be alive
    When the hosts of zone "c" are joined again
    Then within 4.0 s every host takes all others to be alive, and knows what they run

  Scenario: A zone is cut in two
    # Guards against two parts of a zone, each with relays of its own, that never find each other again.
    Given 66 hosts in the zones "abc" that each run 3 requests at 2 endpoints
    When they have talked for 5.0 s
    And the hosts of zone "a" are cut in two halves for 12.0 s
    Then within 8.0 s every host takes all others to be alive, and knows what they run

  Scenario: Links lose one message in twenty
    Given 66 hosts in the zones "abc" that each run 3 requests at 2 endpoints
    And links that lose 0.05 of the messages
    When they have talked for 5.0 s
    Then every living host is taken to be alive for the next 5.0 s

  Scenario: A share counts once in the sum that its host gets back
    # Guards against a host that takes its own requests for those of others.
    Given a host that told 2 requests at an endpoint, and later 5
    When a relay tells a sum of 9 in which the first of these counts
    Then the others run 7 requests there
    When a relay tells a sum of 12 in which the second of these counts
    Then the others run 7 requests there

  Scenario: The sum over most hosts counts
    # Guards against a relay that has just begun, and hides what the fleet runs.
    Given a host that told 2 requests at an endpoint, and later 5
    When a relay tells a sum of 40 over 20 hosts, and a newer one a sum of 4 over 2
    Then the others run 40 requests there

  Scenario Outline: A message that is no digest of a peer changes nothing
    # Guards against damaged messages, and those of other versions, that change sums or rosters.
    Given a host that talks with a peer
    When it gets a message that is <kind>
    Then it knows and runs on as before, and the message is <outcome>

    Examples:
      | kind                     | outcome    |
      | cut in the middle        | unreadable |
      | of an unknown tag        | unreadable |
      | with a damaged share     | unreadable |
      | older than the last one  | passed over |
      | a roster nobody asked of | passed over |
