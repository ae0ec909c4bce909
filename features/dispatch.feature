Feature: Dispatch of requests on the gateway

  Scenario: Old knowledge refuses keyed requests before a removed key could be honoured
    # A host was suspended or cut off. Its key may have been taken away meanwhile, so
    # from four fifths of the bound on it answers 503, not run, with a time to come back.
    Given a dispatch whose configuration was confirmed at 100.0 and keys bound by 5.0 s
    Then a keyed request is admitted at 103.9
    And a keyed request is refused with "not_ready" at 104.1
    And after a new confirmation at 104.2 a keyed request is admitted at 105.0

  Scenario: A request that waited is checked again in the step that sends it
    # The request was admitted, then its host was suspended for five seconds. Sent now,
    # it could run on a key that was taken away in the meantime.
    Given a dispatch whose configuration was confirmed at 100.0 and keys bound by 5.0 s
    When a keyed request is admitted at 100.5 and its host is suspended until 105.5
    Then it may not be sent, and the refusal says "not run"

  Scenario: A stream that has begun goes on in a zone that is cut off
    # Its zone is cut off and its endpoint lost. The key held when the request came, so
    # it goes on at another endpoint although new requests are refused by now.
    Given a dispatch whose configuration was confirmed at 100.0 and keys bound by 5.0 s
    When a keyed request was sent at 100.5 and its endpoint breaks at 105.0
    Then it is sent again, and a new request is refused with "not_ready" at 105.0

  Scenario: A key taken away while a request waits for its connection
    Given a dispatch whose configuration was confirmed at 100.0 and keys bound by 5.0 s
    When a keyed request is admitted at 100.5 and its key is taken away
    Then it may not be sent, and the refusal says "not run"

  Scenario: An older configuration never comes back
    Given a dispatch whose configuration was confirmed at 100.0 and keys bound by 5.0 s
    When the versions 9, 4 and 9 arrive in this order
    Then version 9 is in force and 4 changed nothing

  Scenario: What may have run is never refused as not run
    # A stream's first endpoint broke off; then no endpoint is left. The refusal must
    # not promise that the request has not run.
    Given a dispatch whose configuration was confirmed at 100.0 and keys bound by 5.0 s
    When a stream fails at its endpoint with "broken" and no endpoint is left
    Then the refusal doesn't say "not run"

  Scenario: All hosts together stay within the budget of second sends
    # Every send fails. Each host earns its share from first sends alone, so eight
    # hosts together stay within the operators' ratio and allowance.
    Given 8 dispatches with 0.9 second sends for each request and 52 besides
    When each of them gets 100 requests that fail at each endpoint
    Then all second sends together are at most 0.9 times 800 and 52
    And 40 hosts together take no more than 52 besides

  Scenario: The longest prefix wins, and accounts go before routes in rank
    Given a catalogue with the prefixes "/a/", "/a/b/" and "/" of one host
    Then "/a/b/c" goes to "/a/b/", "/a/c" to "/a/" and "/x" to "/"
    And a request of an account of rank 0 on a route of rank 2 has rank 0

  Scenario: An endpoint that says nothing is left before its caller leaves
    # The endpoint went dark. Another one is asked while the caller still waits, but not
    # where nothing else may be asked, and never for what may run once only.
    Then a stream expected after 0.2 s is left after 2.5 s, and one expected after 1.0 s after 4.0 s
    And its last attempt, and an order, are never left
