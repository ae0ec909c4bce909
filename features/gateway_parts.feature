Feature: Components of the gateway: peer table, event streams, log output

  Scenario: An echo of a stamp from before this host's start proves nothing
    # Guards against proofs that lie in the future once the machine's time since boot begins anew.
    Given an empty peer table
    When a digest arrives at 5.0 that echoes the stamp 9000.0 of the start before
    Then it proves nothing

  Scenario: A peer that has started again is heard at once, whatever its time since boot
    # Guards against a peer that is ignored, and echoed by its clock of before a loss of power.
    Given an empty peer table
    When a peer's digest with the stamp 9000.0 arrives, and then one of its next start with 3.0
    Then both are applied, and the peer's stamp 3.0 is echoed
    And a digest of the start before with the stamp 9000.4 is ignored

  Scenario: A peer's proof is no more recent than its facts
    # A peer's digest was unread while this host was suspended. Its facts must count from the stamp
    # that it echoes, not from the time at which it is read.
    Given an empty peer table
    When a digest with facts 0.2 s old arrives at 109.0 and echoes 100.0 after 0.5 s
    Then the facts are proven as of 100.3

  Scenario: The address of a killed host is removed
    # A killed host leaves its address in the store. After two minutes without a digest it must count
    # as gone; a host that is heard in between must not.
    Given an empty peer table
    When the addresses "10.0.0.2:1" and "10.0.0.3:1" are read at 10.0 and "10.0.0.3:1" is heard at 100.0
    Then at 131.0 only "10.0.0.2:1" is gone

  Scenario: A zone that is cut off counts as silent after one lost digest
    # Hosts of other zones send a digest every second. Requests into a zone that was cut off get no
    # answer, so it must not take three digests to notice.
    Given an empty peer table
    When the last digests of two hosts of "b" arrived at 100.0 and 101.0
    Then "b" is not silent at 102.6, and silent at 102.8

  Scenario: Connections without acknowledgements fail, to endpoints sooner than to callers
    # A zone is cut off without a reset of connections. A request to its endpoint must be given up
    # while there is time for another endpoint; a caller behind a bad link gets more time.
    Then a connection fails without acknowledgements for 1600 ms by an endpoint, and for 2000 ms by a caller

  Scenario: The first read after a failure is no long poll
    # The store was silent and answers again. A long poll would prove only at its end that API keys
    # are still valid, and requests with keys would be refused until then.
    Given a document follower whose store does not answer the second read
    When it reads 4 times
    Then the reads may wait for 0.8, 0.8, 0.0 and 0.8 s

  Scenario: Events are parsed from chunks of any size
    Given a stream of 50 events in chunks of 1 to 30 bytes
    Then the parser returns 50 complete events with their ids in order

  Scenario: Lines that nobody reads are dropped and counted
    # Standard output is a full pipe. The event loop must not block on it; notable lines take
    # precedence over usual ones, and a line reports how many were dropped.
    Given log output whose reader has stopped
    When 5000 usual lines and 100 notable ones are written
    Then the event loop never blocked, and the dropped lines are counted by event

  Scenario: Lines are written as a whole
    # A collector reads the lines of many hosts. A line that is split between two writes would have
    # another host's line inside it, and would be lost for the timeline of its request.
    Given log output that records each write
    When 80 lines of 50 to 900 characters are written
    Then each write contains complete lines, and at most 4096 characters

  Scenario: Every line is counted, including dropped ones
    # The counters must show operators how often the host decided something, however few of the
    # lines about it were written.
    Given log output whose reader has stopped
    When 900 usual lines and 3 notable ones are written
    Then the metrics count 900 "Usual" and 3 "Notable" lines

  Scenario: Every log event is documented
    Then docs/OPERATIONS.md documents exactly the events in the code
    And each event is written somewhere in the code

  Scenario: A host admits what its memory and its sockets allow
    # With fewer descriptors the host would run out of sockets under a burst, and with less memory
    # the platform would kill it together with all its open requests.
    Given a host of 150 MB and 3900 sockets
    Then it admits about 770 open requests, and 2340 connections of callers
    And one of 150 MB and 800 sockets admits 280, and one of 88 MB admits 350

  Scenario Outline: No endpoint is derived from a record of another writer
    # Somebody else writes into the list of endpoints. A host that took the record for an endpoint
    # would send callers there; if decoding it raised an error, all hosts would exit.
    Given a record of an endpoint <made>
    Then no endpoint is derived from it

    Examples:
      | made                                     |
      | whose address ends with a line break     |
      | with 100000 nested lists                 |
      | that is truncated                        |
      | whose slots are a string                 |
      | whose port exceeds 16 bits               |
      | whose port is 0                          |
      | whose address has a number above 255     |
      | whose key has a line break               |
      | whose key is in no Latin script          |
      | whose key is empty                       |
      | with more slots than 64 bits             |
      | with a sequence of 2 to the power of 70  |
      | with a negative sequence                 |
      | that was born in 2 to the power of 70 ms |
      | that was born long before all clocks     |
      | that warms up for 1e308 ms               |
      | whose version has a million letters      |
      | whose service has a million letters      |
      | whose zone has a million letters         |

  Scenario Outline: A configuration whose <field> is <value> is refused by an error that names it
    # Guards against hosts that all end, or tell each other nothing, because of one number.
    When an operator writes a configuration whose <field> is <value>
    Then it is refused with an error that begins with "<field>: Expected"

    Examples:
      | field                      | value                  |
      | version                    | 1180591620717411303424 |
      | services.0.maxConns        | 1180591620717411303424 |
      | services.0.engine.slots    | 1180591620717411303424 |
      | services.0.engine.kvBytes  | 1e999                  |
      | services.0.engine.linkMbps | 1e999                  |
      | services.0.coldPerS        | 1e999                  |

  Scenario: A list of the largest records can be told to a peer
    # Guards against one odd record that keeps a host from sending, or from getting, the whole list.
    Given endpoints whose records hold the largest values that are accepted
    When a host that lists 100 such endpoints is asked for its list
    Then the asking host lists the same endpoints

  Scenario Outline: Settings with the address <address> are refused by an error that operators understand
    # Guards against an error that shows how addresses are matched, and not what is expected.
    Given settings of a host whose address for callers is "<address>"
    Then they are refused with "listen.frontend: Expected `ip:port` with a port from 1 to 65535"

    Examples:
      | address         |
      | 127.0.0.1:70000 |
      | 127.0.0.256:80  |
      | shop.example:80 |

  Scenario: The bounds of addresses leave out no endpoint
    Then the largest address with a port is that of an endpoint

  Scenario Outline: A connection to <address> fails like one that is refused
    # Guards against an error that ends requests without a failure of the endpoint, which is then
    # chosen again and again.
    Then a connection to "<address>" fails

    Examples:
      | address         |
      | 127.0.0.1:70000 |
      | 127.0.0.1:-1    |
      | 127.0.0.1:port  |

  Scenario: A host ends although a message of a peer comes at the moment of its end
    # Guards against a planned stop that waits for ever for the receiver of messages.
    Given links that receive the messages of peers
    When they are stopped at the moment at which a message arrives
    Then they have ended, and receive nothing more

  Scenario: Messages that arrive while the host is busy are all received
    # Guards against a receiver that waits for the next message while others wait already. They are
    # more than are received in one step.
    Given links that receive the messages of peers
    When 60 messages wait at once
    Then all are received in order

  Scenario: Log lines are those of the JSON formatter
    # Guards against a faster formatter whose lines the readers of logs can't parse, or that lacks
    # the trace of an exception.
    Then the formatter of log lines writes events, other records and exceptions as it does
