@each.installation
Feature: The log lines explain why a request failed, found by its id

  Scenario: A request is refused although endpoints have capacity
    # The store doesn't respond for longer than API keys may be used without confirmation,
    # and the caller gets 503. The request's log lines must show that the keys were out of
    # date, and that the host had lost the store.
    When the store is silent until a lookup "walk-1" is refused
    Then the timeline of "walk-1" ends with "RequestRefused" of kind "not_ready"
    And the timeline of "walk-1" shows that the host logged "StoreLost" before

  Scenario: A stream is broken off and not resumed
    # Each endpoint breaks off until no attempt is left, and the caller sees an aborted
    # answer. The log lines must show each send with its endpoint, and the last event.
    Given a second endpoint "engine-2" of "engines"
    When all endpoints of "engines" break off the draft "walk-2"
    Then the timeline of "walk-2" ends with "AnswerBroken" of kind "endpoint_failed"
    And the timeline of "walk-2" has 3 sends that failed as "broken"

  Scenario: An order with an unknown outcome
    # The endpoint executes the order, and its response is lost. The log lines must show the
    # one send with its endpoint, and that the order was not sent again.
    When the endpoint of the order "walk-3" loses its response
    Then the timeline of "walk-3" ends with "RequestRefused" of kind "endpoint_failed"
    And the timeline of "walk-3" has 1 sends that failed as "broken"

  Scenario: No log line contains an API key or a request body
    When a caller with the body "two rings for Mr Rossi" orders with a good and an unknown key
    Then no log line contains the body or a key, and each request line has its id

  Scenario: Latencies of the steps of a request are measured
    When a caller looks up "/lookup/ring?size=5" and orders "/order/ring"
    Then the metrics have the latencies "first, whole, choice, store"
