Feature: Endpoints on the gateway: directory and placement

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

  Scenario: Among very many endpoints a prompt still finds its home
    # Only some of the endpoints are weighed for each request. The one that has read the
    # beginning of most prompts like this one is among them, also on other hosts.
    Given a placement of 800 engines
    Then 50 prompts with one beginning go to one engine of another host's choice

  Scenario: Long prompts leave the zone later than short ones
    # The way of a long prompt to another zone is dear. With some prompts waiting in the
    # own zone a short one goes elsewhere, a long one stays while it is still in time.
    Given a placement of engines in the zones "a, b" and a book that heard hosts of "b"
    When prompts that take 0.3 s wait in the zone "a"
    Then a body of 17000 bytes goes to "a" and one of 1500 bytes to "b"

  Scenario: An endpoint that keeps failing is passed over, longer each time
    Given a placement of 2 engines
    When "engine-0" fails
    Then it gets nothing for 0.5 s
    And it gets nothing for 1.0 s after a second failure

  Scenario: A version is proven at one endpoint, which all hosts choose
    # Spread over many endpoints a part of the traffic loads none of them. A version that
    # fails under load would pass, and then get all callers.
    Given 5 hosts that know the same 12 idle endpoints of a version
    Then all of them send its load to the same endpoint
    When that endpoint is full
    Then none of them chooses that endpoint
