@each.installation
Feature: Endpoints that fail while a caller waits

  Scenario Outline: An order whose endpoint <does> is sent once and its outcome told as it is
    # An order may not be repeated. The caller gets 502, which promises nothing,
    # because the endpoint may have run it; another endpoint is not asked.
    Given a second endpoint "stock-2" of "stock"
    When the endpoints of "stock" meet the next order with "<fault>"
    Then the caller's order gets 502
    And exactly one endpoint ran it

    Examples:
      | does                          | fault    |
      | loses the answer              | LOST     |
      | breaks the answer off         | CUT      |
      | answers another request       | OTHER_ID |
      | answers without its signature | UNSIGNED |

  Scenario: An order whose endpoint fails gets that failure
    When the endpoints of "stock" meet the next order with "ERROR"
    Then the caller's order gets 500
    And the answer is signed by "stock-1"

  Scenario: An order that was not run is sent to another endpoint
    # The first endpoint is full and says that it ran nothing, so a second send can't
    # run the order twice. The caller sees one good answer.
    Given a second endpoint "stock-2" of "stock"
    When the endpoints of "stock" meet the next order with "NOT_RUN"
    Then the caller's order gets 200
    And exactly one endpoint ran it

  Scenario: An order that no endpoint ran is refused as not run
    When the endpoints of "stock" meet the next 9 orders with "NOT_RUN"
    Then the caller's order gets 503
    And no endpoint ran it

  Scenario Outline: A lookup survives an endpoint that <does>
    Given a second endpoint "stock-2" of "stock"
    When the endpoints of "stock" meet the next lookup with "<fault>"
    Then the caller's lookup gets 200

    Examples:
      | does                          | fault    |
      | fails                         | ERROR    |
      | loses the answer              | LOST     |
      | breaks the answer off         | CUT      |
      | answers another request       | OTHER_ID |
      | answers without its signature | UNSIGNED |
      | says nothing                  | MUTE     |

  Scenario: A second answer behind a whole one reaches nobody
    # The endpoint answers twice on a kept connection. The bytes belong to no request:
    # the connection is not used again and the next caller gets its own answer.
    When the endpoints of "stock" meet the next lookup with "EXTRA"
    Then the caller's lookup gets 200
    And 5 lookups are answered by "stock-1"

  Scenario: A stream goes on at another endpoint within the same answer
    # The first endpoint breaks off inside event 3. The caller sees one answer with
    # each event once: the second endpoint goes on behind the last whole one.
    Given a second endpoint "engine-2" of "engines"
    When the endpoints of "engines" meet the next draft with "CUT"
    Then the answer has the events 1 to 5 of the model "small"
    And the second endpoint was asked to go on after event 2

  Scenario: A stream that can't go on does not look whole
    When the endpoints of "engines" meet the next 9 drafts with "CUT"
    Then the answer is broken off

  Scenario: A caller that goes on itself gets the rest only
    When a caller asks for a draft after event 3
    Then the answer has the events 4 to 5 of the model "small"

  Scenario: A caller that leaves stops its endpoint
    # The caller closes its connection in the middle of a stream, and before the first
    # event of another. Both endpoints see their connections close within half a second.
    Given the endpoints stream slowly
    When a caller leaves in the middle of a draft
    Then its endpoint sees it leave within half a second

  Scenario: A caller that leaves before the first event stops its endpoint too
    When the endpoints of "engines" meet the next draft with "MUTE" and its caller leaves
    Then its endpoint sees it leave within half a second

  Scenario: A request that was given up is answered at once
    # No endpoint is listed any more. The caller hears so now, not at its time limit.
    When the endpoints of "stock" are all taken away
    Then a lookup is answered with 503 within one second
