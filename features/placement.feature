Feature: Endpoints on the gateway: directory and placement

  Scenario: A late record doesn't restore a removed endpoint
    # A record written before the endpoint's removal arrives after it. If it were applied,
    # the removed endpoint would be listed again, at an address that another may have by now.
    Given a directory that lists "e1" with record 5 and then removes it
    When record 4 of "e1" arrives
    Then the directory lists nothing
    And record 6 of "e1" lists it again

  Scenario: An endpoint that restarted under its old id is a new endpoint
    Given a directory that lists "e1" with record 50 of its first start
    When record 1 of its second start arrives
    Then the directory reports that "e1" was restarted

  Scenario: Endpoints whose records lapsed in an outage stay listed for a grace period
    # The store was unavailable and lost its records, although the endpoints are up. They stay
    # in use for the two seconds within which the platform restores the records.
    Given a directory that lists "e1" with record 5
    When "e1" is removed at 10.0 as the store comes back
    Then it is still listed at 11.5 and gone at 12.5

  Scenario: A prompt goes to the endpoint that has its prefix cached
    Given a placement of 4 engines
    When a prompt of 20000 tokens was read at one engine
    Then the next prompt with the same prefix goes there
    And with 12 prompts waiting there it goes elsewhere

  Scenario: Endpoints of a zone that fell silent are used last
    # All hosts of another zone fell silent at once, so the zone is cut off. A send there would
    # hang until its timeout; busy endpoints of reachable zones are the better choice.
    Given a placement of engines in the zones "a, b, c" and a peer table that heard hosts of "b, c"
    When the hosts of "b" fall silent and those of "c" don't
    Then 200 prompts go to "a" and "c" only, although these are half full

  Scenario: Among very many endpoints a prompt still goes to the owner of its prefix
    # Only a sample of the endpoints is compared for each request. The owner of the prompt's
    # prefix is always part of it, and all hosts compute the same owner.
    Given a placement of 800 engines
    Then 50 prompts with one prefix go to one engine, also from another host

  Scenario: Long prompts leave the zone later than short ones
    # Traffic of a long prompt to another zone is expensive. With some prompts waiting in the
    # own zone a short prompt goes elsewhere, and a long one stays while it is still in time.
    Given a placement of engines in the zones "a, b" and a peer table that heard hosts of "b"
    When prompts that take 0.3 s wait in the zone "a"
    Then a body of 17000 bytes goes to "a" and one of 1500 bytes to "b"

  Scenario: An endpoint that keeps failing gets no requests for longer each time
    Given a placement of 2 engines
    When "engine-0" fails
    Then it gets no requests for 0.5 s
    And it gets no requests for 1.0 s after a second failure

  Scenario: The load of a version on trial is concentrated on one endpoint, the same on all hosts
    # Spread over many endpoints, a fraction of the traffic loads none of them. A version that
    # fails under load would pass its trial and then serve all callers.
    Given 5 hosts that know the same 12 idle endpoints of a version
    Then all of them send its load to the same endpoint
    When that endpoint is full
    Then none of them chooses that endpoint
