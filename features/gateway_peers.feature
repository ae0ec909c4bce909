Feature: Hosts on the platform rely on each other's reads of the store

  @fixture.host_pair
  Scenario: A host that the store rejects relies on the proofs of its peer
    # The store answers 503 to one host only. The other host, in another zone, proves to it which
    # configuration is in force. Its callers with keys must be served for longer than the bound on
    # revocation, and a key that is revoked meanwhile must be refused there as well.
    When the store rejects host 1 for longer than API keys may be trusted
    Then calls of "/lookup/ring" at host 1 are answered with 200
    And once the API key "second-key" is revoked it gets 401 at host 1

  @fixture.host_pair
  Scenario: A host that the store rejects learns of endpoints from its peer
    # An endpoint is removed while the store rejects the host. It must get no requests from this host
    # after the time in which leaving endpoints must be known.
    When the store rejects host 1 for longer than API keys may be trusted
    And the endpoint "stock-2" replaces "stock-1"
    Then soon all calls of "/lookup/ring" at host 1 reach "stock-2"

  @fixture.host_pair
  Scenario: A host that reaches neither store nor peer refuses requests with keys
    # The store rejects the host and its only peer dies. Nobody can prove to it that keys are still
    # valid, so it answers 503, which promises that the request has not run, with a time to retry.
    When the store rejects host 1 for longer than API keys may be trusted
    And host 0 is killed and API keys may be trusted no longer
    Then a call of "/lookup/ring" at host 1 is answered with 503 and a Retry-After header
