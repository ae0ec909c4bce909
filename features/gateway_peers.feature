Feature: Hosts on the users' platform help each other

  @fixture.host_pair
  Scenario: A host that the store turns away goes on by what its peer proves
    # The store answers 503 to one host only. The other one, in another zone, tells it
    # what is in force, so its callers with keys are served past the bound on keys, and
    # a key that is taken away meanwhile is refused there as well.
    When the store turns host 1 away for longer than keys may be trusted
    Then calls of "/lookup/ring" at host 1 are answered with 200
    And once the key "second-key" is taken away it gets 401 at host 1

  @fixture.host_pair
  Scenario: A host that the store turns away hears of endpoints by its peer
    # An endpoint is removed while the store turns the host away. It must get nothing
    # more from this host within the time for leaving endpoints.
    When the store turns host 1 away for longer than keys may be trusted
    And the endpoint "stock-2" takes the place of "stock-1"
    Then soon all calls of "/lookup/ring" at host 1 reach "stock-2"

  @fixture.host_pair
  Scenario: A host that hears neither store nor peer refuses keyed requests
    # The store turns it away and its only peer dies. Nobody can tell it that keys still
    # hold, so it says 503, not run, with a time to come back.
    When the store turns host 1 away for longer than keys may be trusted
    And host 0 is killed and the bound on keys passes
    Then a call of "/lookup/ring" at host 1 is answered with 503 and a time to come back
