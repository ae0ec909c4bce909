Feature: Parts of the gateway: peers, events, log lines

  Scenario: Freshness that a peer proves is no younger than its facts
    # A peer's digest lay unread while this host was suspended. Its facts count from the
    # stamp that it echoes, not from the moment at which it is read.
    Given a book of peers
    When a digest arrives at 109.0 that echoes 100.0 after 0.5 s, facts 0.2 s old
    Then the facts are proven true at 100.3

  Scenario: The address of a host that was killed is taken out
    # A host is killed and leaves its address in the store. After two minutes without a
    # word it counts as gone; one that is heard now and then doesn't.
    Given a book of peers
    When "10.0.0.2:1" and "10.0.0.3:1" are read at 10.0 and "10.0.0.3:1" is heard at 100.0
    Then at 131.0 only "10.0.0.2:1" is gone

  Scenario: A zone that is cut off is known as silent after one lost digest
    # Hosts of other zones tell once a second. Requests that go into a zone which was cut
    # off wait in vain, so it must not take three digests to notice.
    Given a book of peers
    When two hosts of "b" were heard last at 100.0 and 101.0
    Then "b" is not silent at 102.6, and silent at 102.8

  Scenario: Connections without acknowledgement end, to endpoints sooner than to callers
    # A zone is cut off without a reset. A request to its endpoint is given up while there
    # is time for another one; a caller behind a bad link is waited for.
    Then bytes to an endpoint wait 800 ms for their acknowledgement, and to a caller 2000 ms

  Scenario: The first read after a failure is not held back
    # The store was silent and answers again. A read that it holds back until something
    # changes would prove only at its end that keys still hold, and callers with keys
    # would be refused until then.
    Given a follower of documents whose store says nothing to the second read
    When it reads 4 times
    Then the reads may wait for 0.8, 0.8, 0.0 and 0.8 s

  Scenario: Events are cut whole from any bytes
    Given a stream of 50 events in pieces of 1 to 30 bytes
    Then the cutter gives 50 events with the ids in order, and none is torn

  Scenario: Lines that nobody reads are left out and counted
    # Standard output is a full pipe. The loop writes on without waiting; notable lines
    # go before usual ones, and a line tells how many were left out.
    Given a log whose reader has stopped
    When 5000 usual lines and 100 notable ones are written
    Then the loop never waited, and the lines left out are counted by event

  Scenario: Lines are written whole
    # A collector reads the lines of many hosts. A line that is divided between two writes
    # would have another host's line inside it, and the story of its request would lack it.
    Given a log that keeps what is written at once
    When 80 lines of 50 to 900 characters are written
    Then each write holds whole lines, and 4096 characters at the most

  Scenario: Every line is counted, also one that was left out
    # Operators see in the counters how often the host changed its mind, however few of
    # the lines that say so were written.
    Given a log whose reader has stopped
    When 900 usual lines and 3 notable ones are written
    Then the metrics tell of 900 "Usual" and 3 "Notable" lines

  Scenario: Each event of the log stands in a page with its meaning
    Then docs/OPERATIONS.md explains every event, and no other
    And each event is written somewhere in the product

  Scenario: A host takes on what its memory and its sockets allow
    # With fewer descriptors the host would run out of sockets under a burst, and with
    # less memory the platform would kill it with all requests that it has open.
    Given a host of 150 MB and 3900 sockets
    Then it has about 770 requests open at the most, of 2340 callers
    And one of 150 MB and 800 sockets has 280, and one of 88 MB has 350

  Scenario Outline: A record of another writer names no endpoint
    # Somebody else writes into the list of endpoints. A host that took it for an endpoint
    # would send callers there; one that fails at it would end, and so would all hosts.
    Given a record of an endpoint <made>
    Then it names no endpoint

    Examples:
      | made                                     |
      | whose address ends with a line break     |
      | with 100000 lists inside each other      |
      | that is cut off                          |
      | whose places are a text                  |
