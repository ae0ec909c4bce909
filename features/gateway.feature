@each.installation
Feature: The whole path on the users' platform

  Scenario: A calm call, a stream and an order are served unchanged
    When a caller looks up "/lookup/ring?size=5" and orders "/order/ring"
    Then both answers are whole, signed and of status 200
    And the endpoint saw the path, the body and the id as the caller sent them
    And the endpoint saw the account "shop" and no key

  Scenario: A stream arrives whole and in order
    When a caller asks for a draft
    Then the answer has the events 1 to 5 of the model "small"

  Scenario: A doubtful answer is asked of the larger model before the caller sees any of it
    Given the model "small" is sure by 5 and the model "large" by 95
    When a caller asks for a draft
    Then the answer has the events 1 to 5 of the model "large"
    And the counters have retries for "larger_model"

  Scenario: What no configuration allows is refused
    When a caller calls a path without a route, and one with a key that nobody holds
    Then the answers are 404 and 401
    And no endpoint saw either

  Scenario: Limits on what callers send
    When a caller sends a body of 20000 bytes, and headers of 6000 bytes
    Then the answers are 413 and 431

  Scenario: A new configuration is in force soon, and an older one never again
    When the operators add the path "/new/" and an older version is written after it
    Then a call of "/new/ring" is answered with 200
    And a call of "/new/ring" is answered with 200

  Scenario: A malformed configuration has no effect
    When the operators write a configuration without services
    Then a call of "/lookup/ring" is answered with 200

  Scenario: A key that is taken away is refused, also on kept connections
    # The caller has a connection open and its key is taken away. Its next request
    # is refused with 401 and reaches no endpoint.
    When the key "second-key" is taken away while its caller keeps a connection
    Then the caller's next request is answered with 401 and no endpoint saw it

  Scenario: A host that the store turns away refuses keyed requests in time
    # The store stops answering. Within the bound on keys the host can't know any
    # more whether a key still holds, so it says 503, not run, and when to come back.
    When the store says nothing for longer than keys may be trusted
    Then a call of "/lookup/ring" is answered with 503 and a time to come back
    And once the store answers again a call of "/lookup/ring" is answered with 200

  Scenario: An unknown route is not denied on old knowledge
    # The store is silent, so a route that was just added may be missing here. A 404
    # would be final for the caller; 503 lets it come back.
    When the store says nothing for longer than routes may be denied
    Then a call of "/nowhere/ring" is answered with 503 and a time to come back

  Scenario: An endpoint that leaves gets nothing new
    Given a second endpoint "stock-2" of "stock"
    When the endpoint "stock-1" says that it leaves
    Then 10 more lookups all reach "stock-2"

  Scenario: An endpoint whose address another one has gets nothing
    # The listed endpoint is gone and its address belongs to another one, which
    # answers 421. The caller gets its answer from a second endpoint.
    Given a second endpoint "stock-2" of "stock"
    When the endpoint "stock-1" has started anew under another id, unlisted
    Then 5 lookups are answered by "stock-2"

  Scenario: A planned stop finishes what is open
    # A stream runs when the platform asks the host to stop. The host is not ready at
    # once, the stream ends whole, and the process ends by itself with code 0.
    Given the endpoints stream slowly
    When a host is asked to stop while a caller's draft is running
    Then the draft is whole and the host ends with code 0
    And the host was not ready while it stopped

  Scenario: Settings are read again on a signal, and a bad file changes nothing
    When the settings file is spoilt and the host gets SIGHUP
    Then the log tells "The settings file is invalid; the previous settings stay in force."
    And a call of "/lookup/ring" is answered with 200

  Scenario: A settings file that changes without a signal is read again
    When the settings file is spoilt without a signal
    Then the log tells "The settings file is invalid; the previous settings stay in force."
    And a call of "/lookup/ring" is answered with 200

  Scenario: A good version is rolled out and recorded
    Given an endpoint "engine-2" of the version "v2"
    When the operators order "v2" within 4 s, and callers ask for drafts meanwhile
    Then the store holds "completed" for the service "engines"
    And a draft is answered by "engine-2"

  Scenario: A bad version is rolled back and recorded
    # Each answer of the new version is a failure. Callers get theirs from the old one,
    # and the store says so before the order's time is over.
    Given an endpoint "engine-2" of the version "v2" that fails each request
    When the operators order "v2" within 8 s, and callers ask for drafts meanwhile
    Then the store holds "rolled_back" for the service "engines"
    And a draft is answered by "engine-1"

  Scenario: Callers that read nothing don't fill the host's memory
    # Eight callers ask for drafts and read nothing, while their endpoint sends 8 MB to
    # each as fast as it can. The host holds the endpoint back instead of buffering it.
    Given the endpoint floods 8 drafts with 2000 events of 4 KB
    When 8 callers ask for drafts and read nothing until the endpoint is held back
    Then the host has grown by less than 16 MB
    And a caller that reads at last gets the events 1 to 2000

  Scenario: Idle connections of callers give way to new ones
    # A caller's draft runs while others connect and send nothing, more than the host has
    # sockets for. The oldest idle ones are closed; the draft and new callers are served.
    Given the endpoints stream slowly
    When a caller's draft is running and 600 others connect and send nothing
    Then the draft is whole and the first idle connection was closed
    And a call of "/lookup/ring" is answered with 200
