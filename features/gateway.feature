@each.installation
Feature: Requests through a gateway on the platform

  Scenario: A lookup, a stream and an order are forwarded unchanged
    When a caller looks up "/lookup/ring?size=5" and orders "/order/ring"
    Then both answers are complete and signed, with status 200
    And the endpoint received the path, the body and the request id unchanged
    And the endpoint received the account "shop" and no API key

  Scenario: A stream arrives complete and in order
    When a caller requests a draft
    Then the answer has the events 1 to 5 of the model "small"

  Scenario: An answer of low confidence is replaced by the larger model's before the caller gets any of it
    Given the model "small" has confidence 5 and the model "large" 95
    When a caller requests a draft
    Then the answer has the events 1 to 5 of the model "large"
    And a retry for "larger_model" is counted

  Scenario: Requests that the configuration does not allow are refused
    When a caller requests a path without a route, and another one uses an unknown API key
    Then the answers are 404 and 401
    And no endpoint received either request

  Scenario: Limits on the size of requests
    When a caller sends a body of 20000 bytes, and headers of 6000 bytes
    Then the answers are 413 and 431

  Scenario: A new configuration takes effect soon, and an older one never again
    When the operators add a route for "/new/", and an older configuration is written after it
    Then a call of "/new/ring" is answered with 200
    And a call of "/new/ring" is answered with 200

  Scenario: A raised limit on headers holds for connections that are open
    # Guards against a caller that keeps its connection and is refused by a limit of the past.
    Given a caller that has a connection open
    When the operators allow headers of 16384 bytes
    Then a request over that connection with a header of 10000 bytes in 8 parts gets 200

  Scenario: A malformed configuration has no effect
    When the operators write a configuration without services
    Then a call of "/lookup/ring" is answered with 200

  Scenario: A revoked API key is refused, also on open connections
    # A caller has a connection open when its key is revoked. Its next request must be refused with
    # 401 and reach no endpoint.
    When the API key "second-key" is revoked while its caller keeps a connection open
    Then the caller's next request is answered with 401 and reaches no endpoint

  Scenario: A host that loses the store refuses requests with keys in time
    # The store stops answering. Within the bound on revocation the host can't know any more whether
    # a key is valid, so it answers 503, which promises that the request has not run, with a time to
    # retry.
    When the store is silent for longer than API keys may be trusted
    Then a call of "/lookup/ring" is answered with 503 and a Retry-After header
    And once the store answers again a call of "/lookup/ring" is answered with 200

  Scenario: An unknown route is not denied on outdated knowledge
    # The store is silent, so a route that was just added may be missing here. A 404 would be final
    # for the caller; after 503 it retries.
    When the store is silent for longer than unknown routes may be denied
    Then a call of "/nowhere/ring" is answered with 503 and a Retry-After header

  Scenario: An endpoint that leaves gets no new requests
    Given a second endpoint "stock-2" of "stock"
    When the endpoint "stock-1" announces that it is leaving
    Then 10 more lookups all reach "stock-2"

  Scenario: An endpoint whose address another one has taken over gets no requests
    # The listed endpoint is gone and its address belongs to another one, which answers 421. The
    # caller must get its answer from a second endpoint.
    Given a second endpoint "stock-2" of "stock"
    When an unlisted endpoint takes over the address of "stock-1"
    Then 5 lookups are answered by "stock-2"

  Scenario: A planned stop finishes open requests
    # A stream is running when the platform asks the host to stop. The host must report at once that
    # it is not ready, complete the stream, and exit by itself with code 0.
    Given the endpoints stream slowly
    When a host is asked to stop while a caller's draft is running
    Then the draft is complete and the host exits with code 0
    And the host reported that it was not ready while it stopped

  Scenario: Settings are reloaded on a signal, and an invalid file changes nothing
    When the settings file becomes invalid and the host receives SIGHUP
    Then the log contains "The settings file is invalid; the previous settings stay in force."
    And a call of "/lookup/ring" is answered with 200

  Scenario: A settings file that changes without a signal is reloaded
    When the settings file becomes invalid without a signal
    Then the log contains "The settings file is invalid; the previous settings stay in force."
    And a call of "/lookup/ring" is answered with 200

  Scenario: A good version is rolled out and recorded
    Given an endpoint "engine-2" of the version "v2"
    When the operators order a roll-out of "v2" within 8 s, while callers request drafts
    Then the store records the phase "completed" for the service "engines"
    And a draft is answered by "engine-2"

  Scenario: A bad version is rolled back and recorded
    # Each answer of the new version fails. Callers must get answers of the old version, and the
    # store must record the roll-back before the time of the order is over.
    Given an endpoint "engine-2" of the version "v2" that fails each request
    When the operators order a roll-out of "v2" within 8 s, while callers request drafts
    Then the store records the phase "rolled_back" for the service "engines"
    And a draft is answered by "engine-1"

  Scenario: Callers that read nothing don't exhaust the host's memory
    # Eight callers request drafts and read nothing, while their endpoint sends 8 MB to each as fast
    # as it can. The host must apply back pressure to the endpoint instead of buffering.
    Given the endpoint answers 8 drafts with 2000 events of 4 KB without pauses
    When 8 callers request drafts and read nothing until the endpoint is blocked
    Then the memory of the host has grown by less than 16 MB
    And a caller that starts reading gets the events 1 to 2000

  Scenario: Idle connections of callers are closed for new ones
    # A caller's draft is running while others connect and send nothing, more than the host has
    # sockets for. The oldest idle ones must be closed, and the draft and new callers served.
    Given the endpoints stream slowly
    When a caller's draft is running and 600 others connect and send nothing
    Then the draft is complete and the first idle connection was closed
    And a call of "/lookup/ring" is answered with 200
