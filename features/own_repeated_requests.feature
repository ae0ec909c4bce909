Feature: Requests that end engines of the own interface, and come again

  @fixture.fatal_fleet
  Scenario: A chat that ends engines is kept from them once three have ended
    # Guards against a chat that ends one engine after the other, since its repeats have other ids.
    When a chat that ends each engine at work on it comes six times at the hosts in turn
    Then at most 3 engines have ended
