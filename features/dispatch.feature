Feature: Dispatch of requests on the gateway

  Scenario: A stale configuration refuses requests with keys before the revocation limit
    # A host was suspended or cut off, and keys may have been revoked meanwhile. From four
    # fifths of the revocation limit on it answers 503, not run, with a Retry-After.
    Given a dispatcher whose configuration was confirmed at 100.0 with a revocation limit of 5.0 s
    Then a request with a key is admitted at 103.9
    And a request with a key is refused with "not_ready" at 104.1
    And after a new confirmation at 104.2 a request with a key is admitted at 105.0

  Scenario: A request that waited is checked again immediately before it is sent
    # The request was admitted, then its host was suspended for five seconds. Sent without
    # another check, it could run on a key that was revoked meanwhile.
    Given a dispatcher whose configuration was confirmed at 100.0 with a revocation limit of 5.0 s
    When a request with a key is admitted at 100.5 and its host is suspended until 105.5
    Then it may not be sent, and the refusal says "not run"

  Scenario: A stream that has started continues in a zone that is cut off
    # The zone is cut off and the stream's endpoint is lost. Its key was valid on arrival, so
    # it continues at another endpoint although new requests are refused by then.
    Given a dispatcher whose configuration was confirmed at 100.0 with a revocation limit of 5.0 s
    When a request with a key was sent at 100.5 and its connection breaks at 105.0
    Then it is sent again, and a new request is refused with "not_ready" at 105.0

  Scenario: A key is revoked while a request waits for a connection
    Given a dispatcher whose configuration was confirmed at 100.0 with a revocation limit of 5.0 s
    When a request with a key is admitted at 100.5 and its key is revoked
    Then it may not be sent, and the refusal says "not run"

  Scenario: An older configuration version is ignored
    Given a dispatcher whose configuration was confirmed at 100.0 with a revocation limit of 5.0 s
    When the versions 9, 4 and 9 arrive in this order
    Then version 9 is in force and 4 changed nothing

  Scenario: A request that may have run is never refused as not run
    # The stream's first connection broke, and then no endpoint is left. The refusal must
    # not claim that the request did not run.
    Given a dispatcher whose configuration was confirmed at 100.0 with a revocation limit of 5.0 s
    When a stream's connection fails with "broken" and no endpoint is left
    Then the refusal doesn't say "not run"

  Scenario: All hosts together stay within the retry budget
    # Every send fails. Each host earns retries from its own first sends only, so eight
    # hosts together stay within the operators' ratio and allowance.
    Given 8 dispatchers that may make 0.9 retries for each request and 52 in addition
    When each of them gets 100 requests that fail at each endpoint
    Then all retries together are at most 0.9 times 800 and 52
    And 40 hosts together have an allowance of at most 52

  Scenario: New limits of retries apply to the budgets in use
    # Guards against settings that are read again and change nothing.
    Given 1 dispatchers that may make 0.9 retries for each request and 52 in addition
    When each of them gets 1 requests that fail at each endpoint
    And the operators allow 0.0 retries for each request and 2 in addition
    Then one more request that fails at each endpoint is sent once

  Scenario: The longest prefix wins, and an account's rank takes precedence over a route's
    Given a catalogue with the prefixes "/a/", "/a/b/" and "/" of one host
    Then "/a/b/c" is routed to "/a/b/", "/a/c" to "/a/" and "/x" to "/"
    And a request of an account of rank 0 on a route of rank 2 has rank 0

  Scenario: A silent endpoint is abandoned before its caller gives up
    # The endpoint became unreachable. Another one is tried while the caller still waits, but
    # not on the last attempt, and never for a request that may run only once.
    Then a stream expected after 0.2 s times out after 2.5 s, and one expected after 1.0 s after 4.0 s
    And its last attempt, and an order, have no timeout

  Scenario Outline: A silent stream after <failures> failed sends with <retries> retries left is <outcome>
    # Guards against a stream that is cut off for its silence although no endpoint may go on with it.
    Given a stream that may be sent 3 times, after <failures> failed sends, and <retries> retries left
    Then a silent endpoint of it is <outcome>

    Examples:
      | failures | retries | outcome    |
      | 0        | 1       | abandoned  |
      | 1        | 1       | abandoned  |
      | 2        | 1       | waited for |
      | 0        | 0       | waited for |
