Feature: What goes wrong behind a relayed connection, and who may use one

  @fixture.cuttable_hosts
  Scenario: A caller that leaves ends the work at the endpoint behind a helper
    Given a draft that host 0 serves through a helper, of long intervals
    When its caller disconnects
    Then the endpoint of the draft is disconnected

  @fixture.cuttable_hosts
  Scenario: A caller that leaves a stream that may not be resumed ends the work behind a helper
    # Guards against an endpoint that works on for nobody because a peer carries the request.
    Given drafts may not be resumed
    And a draft that host 0 serves through a helper, of long intervals
    When its caller disconnects
    Then the endpoint of the draft is disconnected

  @fixture.cuttable_hosts
  Scenario: A draft goes on after its helper is killed
    # Guards against events that are missing, or come twice, when the link between two hosts breaks.
    Given a draft that host 0 serves through a helper, of long intervals
    When its helper is killed
    Then the caller gets all events of the draft in order

  @fixture.cuttable_hosts
  Scenario: An order whose helper is killed runs once at most
    Given an order that host 0 has sent through a helper, which waits for its answer
    When its helper is killed
    Then the caller gets 502, and the order ran once

  @fixture.cuttable_hosts
  Scenario: A stream that may not be resumed runs once if its helper is killed
    # Guards against a second run that begins because a peer carried the first one.
    Given drafts may not be resumed
    And a draft that host 0 serves through a helper, of long intervals
    When its helper is killed
    Then the caller's answer breaks off, and one endpoint ran it

  @fixture.cuttable_hosts
  Scenario: A helper that is stopped as planned first ends what it relays
    Given a draft that host 0 serves through a helper, of long intervals
    When its helper is stopped as planned
    Then the caller gets all events of the draft in order
    And one endpoint ran it
    And the helper ends with code 0

  @fixture.cuttable_hosts
  Scenario: The lines of both hosts tell of a relayed request
    Given callers of all kinds were served by each host
    When host 0 loses its links to all endpoints, and open connections are reset and new ones refused
    And 1 requests of each kind are sent to host 0
    Then the timeline of each of them names the helper, and has a line of the helper

  @fixture.cuttable_hosts
  Scenario Outline: The port for peers serves nobody else: <what>
    # Guards against callers that reach endpoints without a key, or other addresses.
    Then a connection to the relay port of host 0 that <what> gets <answer>

    Examples:
      | what                                  | answer                |
      | asks for an unknown endpoint          | an "unknown_endpoint" |
      | asks for another start of an endpoint | an "unknown_endpoint" |
      | comes from an address of no host      | an "unknown_peer"     |
      | sends a request of HTTP               | closed                |
      | sends bytes before the reply          | closed                |
      | sends a frame of 2 MB                 | closed                |
      | says nothing                          | closed                |

  Scenario: A relayed connection that was kept open carries nothing once the endpoint wants no more
    # Guards against a request that is told to have run, or runs, although its helper may not send it.
    Given a helper that has opened a connection for a peer
    When the endpoint asks the helper to stay away, and the peer sends its request
    Then the peer learns that no byte of it was passed on
    And the endpoint got no byte

  Scenario Outline: A relayed answer is complete only if the endpoint ended it
    # Guards against an answer without a length that looks complete because its helper died.
    Given a helper that relays a stream of bytes without a length
    When <end>
    Then the asking host sees an answer that is <seen>

    Examples:
      | end                                      | seen     |
      | the endpoint closes its side             | complete |
      | the endpoint resets the connection       | broken   |
      | the helper dies                          | broken   |

  Scenario: A relay is open until the asking host was sent all of the answer
    # Guards against a helper that is stopped as planned and takes the rest of an answer along.
    Given a helper that has opened a connection for a peer that reads slowly
    When the endpoint sends an answer of 80000 bytes that ends with the connection
    Then the helper counts the relay as open, since some of it waits to be sent
    And the peer gets a whole answer of 80000 bytes
    And no relay is open

  Scenario: An answer that a helper has received whole reaches the asking host whole
    # Guards against a helper that drops the end of an answer because the endpoint reset later.
    Given a helper that has opened a connection for a peer that reads slowly
    When the endpoint sends an answer of 200000 bytes with their number, and resets the connection
    Then the peer gets a whole answer of 200000 bytes

  @fixture.cuttable_hosts
  Scenario: Through a helper, an order that ran and is answered 503 gets 502
    # Guards against an endpoint's false promise that reaches the caller by way of a relay.
    Given host 0 reaches endpoints through helpers only
    When the endpoints of "stock" answer the next order with the fault "RAN_503"
    Then the caller's order gets 502
    And exactly one endpoint ran it
