@each.installation
Feature: Endpoints that fail while a caller waits

  Scenario Outline: An order whose endpoint <does> is sent once and its outcome reported as unknown
    # An order must not be repeated. The caller gets 502, which makes no promise, because the
    # endpoint may have run the order; no other endpoint may be tried.
    Given a second endpoint "stock-2" of "stock"
    When the endpoints of "stock" answer the next order with the fault "<fault>"
    Then the caller's order gets 502
    And exactly one endpoint ran it

    Examples:
      | does                          | fault    |
      | loses the answer              | LOST     |
      | breaks the answer off         | CUT      |
      | answers another request       | OTHER_ID |
      | answers without its signature | UNSIGNED |

  Scenario: An order whose endpoint fails gets that failure
    When the endpoints of "stock" answer the next order with the fault "ERROR"
    Then the caller's order gets 500
    And the answer is signed by "stock-1"

  Scenario Outline: An order that ran and is answered <ran> gets 502
    # Guards against an endpoint's failure that promises the caller that its order has not run.
    When the endpoints of "stock" answer the next order with the fault "RAN_<ran>"
    Then the caller's order gets 502
    And the answer is not signed
    And exactly one endpoint ran it

    Examples:
      | ran |
      | 408 |
      | 429 |
      | 503 |

  Scenario: An order that ran at the endpoint of a second send and is answered 503 gets 502
    # Guards against a second send that passes on what a first one would not.
    Given a second endpoint "stock-2" of "stock"
    When the endpoints of "stock" answer the next order with the faults "NOT_RUN, RAN_503"
    Then the caller's order gets 502
    And exactly one endpoint ran it

  Scenario: A stream that may not be resumed, ran and is answered 503 gets 502
    # Guards against a rule for orders that forgets the other requests that may run only once.
    Given drafts may not be resumed
    When the endpoints of "engines" answer the next draft with the fault "RAN_503"
    Then the caller's draft gets 502
    And 1 runs of "engines" were needed

  Scenario Outline: A <request> that may be repeated and is answered 503 gets that failure
    # Guards against a failure of an endpoint that is replaced although its caller may repeat.
    When the endpoints of "<service>" answer the next 9 <request>s with the fault "RAN_503"
    Then the caller's <request> gets 503
    And the answer is signed by "<endpoint>"

    Examples:
      | request | service | endpoint |
      | lookup  | stock   | stock-1  |
      | draft   | engines | engine-1 |

  Scenario: An order that was not run is sent to another endpoint
    # The first endpoint is full and states that it ran nothing, so a second send can't run the
    # order twice. The caller must get one good answer.
    Given a second endpoint "stock-2" of "stock"
    When the endpoints of "stock" answer the next order with the fault "NOT_RUN"
    Then the caller's order gets 200
    And exactly one endpoint ran it

  Scenario: An order that no endpoint ran is refused as not run
    When the endpoints of "stock" answer the next 9 orders with the fault "NOT_RUN"
    Then the caller's order gets 503
    And no endpoint ran it

  Scenario Outline: A lookup survives an endpoint that <does>
    Given a second endpoint "stock-2" of "stock"
    When the endpoints of "stock" answer the next lookup with the fault "<fault>"
    Then the caller's lookup gets 200

    Examples:
      | does                          | fault    |
      | fails                         | ERROR    |
      | loses the answer              | LOST     |
      | breaks the answer off         | CUT      |
      | answers another request       | OTHER_ID |
      | answers without its signature | UNSIGNED |
      | says nothing                  | MUTE     |

  Scenario: A second answer after a complete one reaches no caller
    # The endpoint answers twice on a persistent connection. The additional bytes belong to no
    # request: the connection must not be reused, and the next caller must get its own answer.
    When the endpoints of "stock" answer the next lookup with the fault "EXTRA"
    Then the caller's lookup gets 200
    And 5 lookups are answered by "stock-1"

  Scenario: A stream is resumed at another endpoint within the same answer
    # The first endpoint aborts inside event 3. The caller must get one answer with each event once:
    # the second endpoint resumes after the last complete event.
    Given a second endpoint "engine-2" of "engines"
    When the endpoints of "engines" answer the next draft with the fault "CUT"
    Then the answer has the events 1 to 5 of the model "small"
    And the second endpoint was asked to resume after event 2

  Scenario: A stream that can't be resumed does not look complete
    When the endpoints of "engines" answer the next 9 drafts with the fault "CUT"
    Then the answer is aborted

  Scenario: A stream whose rest only fails is aborted
    # Guards against an error's status or body inside an answer that has begun.
    Given a second endpoint "engine-2" of "engines"
    When the endpoints of "engines" answer the next draft with the faults "CUT, ERROR, ERROR, ERROR"
    Then the answer is aborted
    And its body is the events 1 to 2 and nothing else

  Scenario Outline: A stream whose endpoint pauses, <endpoints> endpoints and <attempts> sends allowed
    # Guards against an answer that is cut off because its endpoint pauses and no other may go on.
    Given <endpoints> endpoints of "engines", and drafts that may take 12 s and be sent <attempts> times
    When the endpoints of "engines" answer the next draft with the fault "PAUSE"
    Then the answer has the events 1 to 5 of the model "small"
    And <runs> runs of "engines" were needed

    Examples:
      | endpoints | attempts | runs |
      | 1         | 1        | 1    |
      | 2         | 1        | 1    |
      | 2         | 3        | 2    |

  Scenario: A caller that resumes a stream gets only the rest
    When a caller requests a draft after event 3
    Then the answer has the events 4 to 5 of the model "small"

  Scenario: A caller that disconnects stops its endpoint
    # The caller closes its connection in the middle of a stream, and before the first event of
    # another one. In both cases the connection to the endpoint must close within half a second.
    Given the endpoints stream slowly
    When a caller disconnects in the middle of a draft
    Then its endpoint is disconnected within half a second

  Scenario: A caller that disconnects before the first event stops its endpoint too
    When the endpoints of "engines" answer the next draft with the fault "MUTE" and its caller disconnects
    Then its endpoint is disconnected within half a second

  Scenario: An order that was not run is not sent again once its caller has left
    # Guards against an order that runs for nobody because its first send was protected from that.
    Given a second endpoint "stock-2" of "stock"
    When an endpoint of "stock" rejects an order a second after its caller has left
    Then no endpoint ran it
    And 1 request reached the endpoints of "stock"

  Scenario: A request without any endpoint is refused at once
    # No endpoint is listed any more. The caller must learn that now, not at its time limit.
    When all endpoints of "stock" are removed
    Then a lookup is answered with 503 within one second

  Scenario Outline: A record of another writer with <what> costs no caller an answer
    # Guards against requests that end without an answer at an endpoint that is none.
    When another writer lists "<key>" of "stock" at "<address>"
    Then 40 orders of 8 callers at a time are all answered with 200

    Examples:
      | what                         | key     | address         |
      | a port of 70000              | stock-9 | 127.0.0.1:70000 |
      | a key that no header carries | склад-9 | 127.0.0.1:9     |
