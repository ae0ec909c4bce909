@each.installation
Feature: From the id of a failed request to its cause, by log lines alone

  Scenario: Refused though places were free
    # The store says nothing for longer than keys may be trusted. The caller gets 503;
    # by its id the lines tell that the keys were old, and that the store was lost.
    When the store is silent until a lookup "walk-1" is refused
    Then the story of "walk-1" ends with "RequestRefused" of kind "not_ready"
    And the story of "walk-1" tells that the host learnt "StoreLost" before

  Scenario: A stream that was broken off and did not go on
    # Each endpoint breaks off until the attempts are used up. The caller sees the break;
    # the lines tell each send with its endpoint, and the last event.
    Given a second endpoint "engine-2" of "engines"
    When all endpoints of "engines" break off the draft "walk-2"
    Then the story of "walk-2" ends with "AnswerBroken" of kind "endpoint_failed"
    And the story of "walk-2" names 3 sends that failed as "broken"

  Scenario: An order with an unknown outcome
    # The endpoint runs the order and its answer is lost. The lines tell the one send, to
    # which endpoint, and that nothing was sent again.
    When the endpoint of the order "walk-3" loses its answer
    Then the story of "walk-3" ends with "RequestRefused" of kind "endpoint_failed"
    And the story of "walk-3" names 1 sends that failed as "broken"

  Scenario: No line holds a key or a body
    When a caller with the body "two rings for Mr Rossi" orders with a good and an unknown key
    Then no log line holds the body or a key, and each request line has its id

  Scenario: Counters and latencies of the parts
    When a caller looks up "/lookup/ring?size=5" and orders "/order/ring"
    Then the metrics have the latencies "first, whole, choice, store"
