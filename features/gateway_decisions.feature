Feature: Decisions of the gateway, without a network

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

  Scenario: The longest prefix wins, and accounts go before routes in rank
    Given a catalogue with the prefixes "/a/", "/a/b/" and "/" of one host
    Then "/a/b/c" goes to "/a/b/", "/a/c" to "/a/" and "/x" to "/"
    And a request of an account of rank 0 on a route of rank 2 has rank 0

  Scenario: A record of before doesn't bring an endpoint back
    # A record that was written before the endpoint left arrives late. Taken in, it
    # would put an endpoint back that is gone, whose address another one may have.
    Given a directory that lists "e1" with record 5 and then removes it
    When record 4 of "e1" arrives
    Then the directory lists nothing
    And record 6 of "e1" lists it again

  Scenario: A reborn endpoint under its old id starts with a clean sheet
    Given a directory that lists "e1" with record 50 of its first start
    When record 1 of its second start arrives
    Then the directory tells that "e1" was restarted

  Scenario: Endpoints that lapsed in an outage get time to come back
    # The store was away and forgot its records, though the endpoints live. They are
    # used for the promised two seconds; then a missing one is gone.
    Given a directory that lists "e1" with record 5
    When "e1" is removed at 10.0 as the store comes back
    Then it is still listed at 11.5 and gone at 12.5

  Scenario: A prompt goes back to the endpoint that has read its beginning
    Given a placement of 4 engines
    When a prompt of 20000 tokens was read at one engine
    Then the next prompt with the same beginning goes there
    And with 12 prompts waiting there it goes elsewhere

  Scenario: Endpoints of a zone that fell silent are asked last
    # All hosts of another zone fell silent at once: it is cut off. A send there would
    # hang until the host's patience ends, so busy endpoints in reach go first.
    Given a placement of engines in the zones "a, b, c" and a book that heard hosts of "b, c"
    When the hosts of "b" fall silent and those of "c" don't
    Then 200 prompts go to "a" and "c" only, although these are half full

  Scenario: An endpoint that keeps failing is passed over, longer each time
    Given a placement of 2 engines
    When "engine-0" fails
    Then it gets nothing for 0.5 s
    And it gets nothing for 1.0 s after a second failure

  Scenario: A doubtful answer is worth a larger model, a sure one isn't
    Given a policy of sizes before empty engines
    Then an answer of confidence 0.1 is asked again and one of 0.95 is kept

  Scenario: Full engines keep doubtful answers
    # Each large answer delays all that wait behind it: with long queues only the
    # worst answers are asked again.
    Given a policy of sizes before engines with 3.0 s of prompts waiting
    Then an answer of confidence 0.6 is asked again on empty engines only

  Scenario: A version that fails on one route alone is bad
    # The new version answers four of five routes well. Its mean looks good, and callers
    # of the fifth get failures.
    Given 40 good answers of the new version on "a" and 6 bad of 8 on "b"
    And 200 good answers of the old version on "a" and 50 on "b"
    Then the new version is judged bad

  Scenario: A version that takes many times as long is bad
    Given usual answers of 0.2 s, and 8 of 20 new ones of 1.6 s
    Then the new version is judged bad

  Scenario: A version is judged by answers that have not ended yet
    # The answers of the new version that end are its fast ones; the slow ones take
    # eight times as long and are still under way when the version would be trusted.
    Given a dispatch whose endpoints usually begin after 0.1 s
    When 6 of 12 answers of the version on trial have not begun after 0.9 s
    Then the new version is judged bad although none of its answers failed

  Scenario: A version whose answers drip is bad, although they begin in time
    Given usual answers of 0.02 s an event
    When 6 of 10 answers of the new version take 0.16 s an event
    Then the new version is judged bad

  Scenario: A cascade stays in the version that it began in
    # A session is on the new version, and its small model doubts the answer. The larger
    # model is asked in the same version; the old one would break the session's promise.
    Given a roll-out of 20 s ordered at 100.0 and 0 sessions on the old version
    When a request on the new version is asked of a larger model
    Then its next send goes to the new version, and after a failure to the old one

  Scenario: A good version is not judged bad by as many failures as the old one has
    Given 4 bad of 30 new answers and 30 bad of 250 old ones
    Then the new version is judged good

  Scenario: Sessions keep their version in the first half of a roll-out
    # A session ran on the old version when the roll-out was ordered; 0 of its later
    # requests may move before the middle of the order's time.
    Given a roll-out of 20 s ordered at 100.0 and 50 sessions on the old version
    Then none of them is sent to the new version until 110.0
    And about a tenth of 1000 new sessions tries the new version

  Scenario: A final phase is never overwritten
    Given a roll-out of 20 s ordered at 100.0 and 50 sessions on the old version
    When it is recorded as "rolled_back" and then as "active" by a host that was paused
    Then it is rolled back and no request goes to the new version

  Scenario: Freshness that a peer proves is no younger than its facts
    # A peer's digest lay unread while this host was suspended. Its facts count from the
    # stamp that it echoes, not from the moment at which it is read.
    Given a book of peers
    When a digest arrives at 109.0 that echoes 100.0 after 0.5 s, facts 0.2 s old
    Then the facts are proven true at 100.3

  Scenario: Events are cut whole from any bytes
    Given a stream of 50 events in pieces of 1 to 30 bytes
    Then the cutter gives 50 events with the ids in order, and none is torn

  Scenario: Lines that nobody reads are left out and counted
    # Standard output is a full pipe. The loop writes on without waiting; notable lines
    # go before usual ones, and a line tells how many were left out.
    Given a log whose reader has stopped
    When 5000 usual lines and 100 notable ones are written
    Then the loop never waited, and the lines left out are counted by event

  Scenario: Each event of the log stands in a page with its meaning
    Then docs/OPERATIONS.md explains every event, and no other
