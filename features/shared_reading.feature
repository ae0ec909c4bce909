Feature: One host of a zone reads the store for the others

  Scenario: One host reads, and the others go on by what it proves
    # Each call of the store is paid for. Of many hosts that hear each other one reads.
    Given 6 hosts of a zone that hear each other
    Then one of them reads "endpoints" now
    And the others wait 1.4 to 1.7 s after the last proof

  Scenario: A host that hears nothing of its zone reads for itself
    Given 6 hosts of a zone of which one hears nobody
    Then that one reads "endpoints" now

  Scenario: A host that a peer is ahead of reads at once
    Given 6 hosts of a zone that hear each other
    When a peer has more than one of the others
    Then that one reads at once, and only once

  Scenario: What the reader tells is taken in once and in order
    # Messages come twice, late, or not at all. An endpoint that has left must not come
    # back by an old message, and a gap is filled from the store.
    Given a follower of endpoints that has read the records 0 to 1
    When it is told of the records 2 to 3, then again of 1 to 3
    Then it knows the endpoints of the records 0 to 3, each once
    When it is told of the records 6 to 7
    Then it knows the endpoints of the records 0 to 3, each once
    And it reads the store at once from record 4

  Scenario: A proof counts only for who has read as much
    # A peer proves that nothing was there beyond what it had read. A host that has read less
    # would else take its own old list for the newest, and use an endpoint that left.
    Given a follower of endpoints that has read the records 0 to 1
    When a peer that has read up to record 1 proves its list true at 50.0
    Then its list is the newest at 50.0
    When a peer that has read up to record 3 proves its list true at 60.0
    Then its list is the newest at 50.0
    And it reads the store at once from record 2

  Scenario: What lapsed in an outage is told as that
    # The store was away, and the records of endpoints that live lapsed. The reader of the
    # zone knows; the others have not called the store. They must keep the endpoint too.
    Given a follower of endpoints that has read the records 0 to 1
    When it is told that record 2 takes endpoint 0 away by a lapse
    Then it knows the endpoints of the records 0 to 1, each once

  @fixture.zone_trio
  Scenario: Readers are killed one after the other
    # Whichever host reads for the zone, its callers and those of the others must not be sent
    # to an endpoint that left, and a new configuration must come into force.
    When host 0 is killed and "stock-1" takes the place of "stock-0"
    Then soon all calls of "/lookup/ring" at hosts "1, 2" reach "stock-1"
    When host 1 is killed and "stock-2" takes the place of "stock-1"
    Then soon all calls of "/lookup/ring" at hosts "2" reach "stock-2"
    And a new configuration is soon in force at hosts "2"

  @fixture.zone_trio
  Scenario Outline: A reader is suspended
    # A host that stands still proves nothing, and the others take over.
    When host <victim> is suspended and "stock-1" takes the place of "stock-0"
    Then soon all calls of "/lookup/ring" at hosts "<others>" reach "stock-1"
    And a new configuration is soon in force at hosts "<others>"
    When host <victim> goes on
    Then soon all calls of "/lookup/ring" at hosts "<victim>" reach "stock-1"

    Examples:
      | victim | others |
      | 0      | 1, 2   |
      | 1      | 0, 2   |
      | 2      | 0, 1   |

  @fixture.zone_trio
  Scenario Outline: A reader is turned away by the store
    # Its reads fail while it hears its zone: another one reads, and tells it.
    When the store turns host <victim> away and "stock-1" takes the place of "stock-0"
    Then soon all calls of "/lookup/ring" at hosts "0, 1, 2" reach "stock-1"
    And a new configuration is soon in force at hosts "0, 1, 2"

    Examples:
      | victim |
      | 0      |
      | 1      |
      | 2      |

  Scenario: What leaves after a host was cut off is no lapse
    # Guards against requests to an endpoint that left, from a host that took its own cut for an outage.
    Given a follower of endpoints that has read the records 0 to 1
    When it reaches the store after 8.0 s, and reads that record 2 takes endpoint 0 away
    Then it knows the endpoints of the records 0 to 1, each once
    When a peer tells that the store answered it for the last 3.0 s
    Then it knows the endpoints of the records 0 to 1, each once
    When a peer tells that the store answered it for the last 60.0 s
    Then it knows the endpoints of the records 1 to 1, each once
