Feature: One host of a zone reads the store for the others

  Scenario: One host reads, and the others rely on its proofs
    # Calls of the store are billed, so only one of many connected hosts should read.
    Given 6 hosts of a zone that receive each other's digests
    Then exactly one of them reads "endpoints" now
    And the others wait 1.4 to 1.7 s after the last proof

  Scenario: A host that receives no digests from its zone reads for itself
    Given 6 hosts of a zone of which one receives no digests
    Then that host reads "endpoints" now

  Scenario: A host that is behind a peer reads at once
    Given 6 hosts of a zone that receive each other's digests
    When a peer is ahead of one of the others
    Then that host reads at once, and only once

  Scenario: Records from the reader are applied once and in order
    # Messages may be duplicated, delayed or lost. A delayed message must not restore an endpoint
    # that has left, and missing records are read from the store.
    Given a listing follower that has read records 0 to 1
    When it receives records 2 to 3, then 1 to 3 from a peer
    Then it lists the endpoints of records 0 to 3, each once
    When it receives records 6 to 7 from a peer
    Then it lists the endpoints of records 0 to 3, each once
    And it reads the store at once from record 4

  Scenario: A read that was under way changes nothing that a peer has sent meanwhile
    # Guards against an endpoint that is lost until its next record, since its removal was read twice.
    Given a listing follower that has read records 0 to 1
    When a peer sends that record 2 removes endpoint 0, and record 3 lists its next start
    And a read that began before that brings records 2 to 3
    Then it lists the endpoints of records 0 to 1, each once

  Scenario: A read that brings only a part of the new records doesn't prove the list current
    # Guards against a list that is taken for current, and proven to others, while changes are unread.
    Given a listing follower that has read records 0 to 1
    When it reads records 2 to 3 of a log that ends after record 5
    Then its list is proven current as of 0.0
    When it reads records 4 to 5 of a log that ends after record 5
    Then its list is current

  Scenario: Requests that find the list old at the same time share one read
    # Guards against calls of the store that grow with the requests to endpoints that were replaced.
    Given a listing follower that has read records 0 to 1
    When 10 requests need a list of now
    Then all have one, after 1 reads
    When the store refuses to be read, and 10 requests need a list of now
    Then none has one, after 2 reads
    And the host still counts as one that can read for its zone

  Scenario: A proof counts only for a host that has read as far
    # A peer proves that there were no records after those that it had read. A host that has read
    # fewer must not take its list for current, or it would use an endpoint that has left.
    Given a listing follower that has read records 0 to 1
    When a peer that has read up to record 1 proves its list current at 50.0
    Then its list is proven current as of 50.0
    When a peer that has read up to record 3 proves its list current at 60.0
    Then its list is proven current as of 50.0
    And it reads the store at once from record 2

  Scenario: Records that expired in an outage are marked as such
    # The store had an outage, and records of live endpoints expired. The zone's reader has noticed
    # that; the other hosts have not called the store, and must keep the endpoint as well.
    Given a listing follower that has read records 0 to 1
    When it receives from a peer that record 2 removes endpoint 0 after an outage
    Then it lists the endpoints of records 0 to 1, each once

  @fixture.zone_trio
  Scenario: Readers are killed one after the other
    # Whichever host reads for the zone, no host may send callers to an endpoint that has left, and
    # a new configuration must take effect.
    When host 0 is killed and "stock-1" replaces "stock-0"
    Then soon all calls of "/lookup/ring" at hosts "1, 2" reach "stock-1"
    When host 1 is killed and "stock-2" replaces "stock-1"
    Then soon all calls of "/lookup/ring" at hosts "2" reach "stock-2"
    And a new configuration is soon in force at hosts "2"

  @fixture.zone_trio
  Scenario Outline: A reader is suspended
    # A suspended host sends no proofs, and another host must take over.
    When host <victim> is suspended and "stock-1" replaces "stock-0"
    Then soon all calls of "/lookup/ring" at hosts "<others>" reach "stock-1"
    And a new configuration is soon in force at hosts "<others>"
    When host <victim> is resumed
    Then soon all calls of "/lookup/ring" at hosts "<victim>" reach "stock-1"

    Examples:
      | victim | others |
      | 0      | 1, 2   |
      | 1      | 0, 2   |
      | 2      | 0, 1   |

  @fixture.zone_trio
  Scenario Outline: A reader is rejected by the store
    # Its reads fail while it hears its zone: another host must read and inform it.
    When the store rejects host <victim> and "stock-1" replaces "stock-0"
    Then soon all calls of "/lookup/ring" at hosts "0, 1, 2" reach "stock-1"
    And a new configuration is soon in force at hosts "0, 1, 2"

    Examples:
      | victim |
      | 0      |
      | 1      |
      | 2      |

  Scenario: An endpoint that leaves after a host was cut off has not expired
    # Guards against requests to an endpoint that has left, sent by a host that mistook its own
    # loss of connection for an outage of the store.
    Given a listing follower that has read records 0 to 1
    When it reaches the store again after 8.0 s, and reads that record 2 removes endpoint 0
    Then it lists the endpoints of records 0 to 1, each once
    When a peer reports that the store has answered it for the last 3.0 s
    Then it lists the endpoints of records 0 to 1, each once
    When a peer reports that the store has answered it for the last 60.0 s
    Then it lists the endpoints of records 1 to 1, each once

  Scenario: Documents that one host of a zone has read need no calls of the others
    # Load: each change of the configuration, times all hosts of a zone.
    Given a document follower that has read records 0 to 1
    When a peer that is 3 records ahead sends them
    Then it has applied the documents up to record 4 and does not read
    When the peer's records arrive a second time
    Then it has applied the documents up to record 4 and does not read

  Scenario: A host that missed documents of its peer reads them itself
    Given a document follower that has read records 0 to 1
    When a peer sends the documents of records 4 to 5 only
    Then it reads the documents at once from record 2

  Scenario: A host that is behind and gets no documents reads them itself
    Given a document follower that has read records 0 to 1
    When a peer is 3 records ahead and sends nothing
    Then it reads the documents within a second from record 2

  Scenario: Documents after a compaction reach the others as a whole
    Given a document follower that has read records 0 to 1
    And it knows that the zone "a" is evacuated
    When a peer sends all newest documents up to record 9, without an evacuation
    Then it has applied the documents up to record 9 and does not read
    And it knows no evacuated zone

  Scenario Outline: Damaged documents of a peer change nothing
    Given two connected hosts
    When one sends the other documents that are <damage>
    Then nothing is applied, and an unreadable message is logged

    Examples:
      | damage         |
      | cut short      |
      | not compressed |
      | no records     |
      | far too large  |

  Scenario: The log tells which peer sent a document
    # Guards against a log that says the store was read by a host that the store turns away.
    Given a document follower that has read records 0 to 1
    When the peer "10.0.0.7:1" sends an order to evacuate "a" and a roll-out of "service-3"
    Then both are logged with the source "10.0.0.7:1"

  Scenario: Only the first host that reads documents sends them to the zone
    # Guards against messages that grow with the square of a zone whose reader the store turns away.
    Given a document follower that has read records 0 to 1
    When a peer's documents arrive while this host reads the same ones
    Then this host sends them to nobody

  Scenario: The log tells how current the list was by which an endpoint was chosen
    # Guards against a request to an endpoint that has left of which nobody can tell what its host knew.
    Given a listing follower that has read records 0 to 1
    When a peer that has read up to record 1 proves its list current 0.5 s ago
    Then the list is about 0.5 s old, proven by that peer, and endpoint 0 has not lapsed
    When it receives from a peer that record 2 removes endpoint 0 after an outage
    Then endpoint 0 has lapsed

  Scenario: Endpoints that a peer's list no longer has are logged
    # Guards against endpoints of which the log never says that they are gone.
    Given a listing follower that has read records 0 to 1
    When a peer's whole list removes endpoint 0
    Then the removal of endpoint 0 is logged once

  Scenario Outline: Few hosts of a zone send the others what they read
    # Guards against messages that grow with the square of a zone whose reader is silent.
    Given <hosts> hosts of a zone that receive each other's digests
    When all of them read a new record of an endpoint, and a new document
    Then <senders> of them send the record, and <senders> the document

    Examples:
      | hosts | senders |
      | 2     | 2       |
      | 27    | 2       |
      | 56    | 2       |

  Scenario: A lapse that a peer reported ends by this host's clock
    # Guards against an endpoint that has left and stays listed at a host that makes no reads.
    Given a listing follower that has read records 0 to 1
    When it receives from a peer that record 2 removes endpoint 0 after an outage
    And a peer that has read up to record 2 proves its list current each 0.25 s for 3.0 s
    Then it lists the endpoints of records 1 to 1, each once

  Scenario Outline: A lapse that a peer reported by mistake ends at once
    # Guards against requests to an endpoint that left while one host was cut off from the store.
    Given a listing follower that has read records 0 to 1
    When it receives from a peer that record 2 removes endpoint 0 after an outage
    And a peer reports that the store has answered it for the last <answered> s
    Then it lists the endpoints of records <first> to 1, each once

    Examples:
      | answered | first |
      | 0.5      | 0     |
      | 60.0     | 1     |

  Scenario: An outage ends with the proof of a peer
    # Guards against a host that takes the store for lost as long as its peers read for it.
    Given a listing follower that has read records 0 to 1
    When the store answers none of its reads for 8.0 s
    Then it takes the store for lost
    When a peer that has read up to record 1 proves its list current 0.0 s ago
    Then it takes the store for available again

  Scenario: Only the hosts that read the store for their zone write what came or left
    # Guards against a fleet that writes each change of an endpoint once at each host, above all
    # when all hosts start together and none has heard yet who reads the store.
    When 20 hosts of a zone start, list two endpoints, and learn of a third
    Then 2 of them write each of the 3 changes, and all count them
