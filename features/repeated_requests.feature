Feature: Requests that end endpoints, and come again

  @fixture.crash_hosts
  Scenario Outline: <what> that ends endpoints is kept from them once three have ended, by <hosts>
    # Guards against a request that ends one endpoint after the other, since its repeats have other ids.
    Given sound drafts and lookups come at hosts 0, 1, 2 for 3 s
    When <what> that ends each endpoint at work on it is repeated for 5 s at hosts <hosts>
    Then it reached no endpoint later than 0.6 s after the third end under it
    And what was kept from endpoints was refused within 0.5 s as not run, without a time to come back
    And from 3 s after the third end on all sound requests were answered

    Examples:
      | what                                    | hosts   |
      | a lookup                                | 0, 1, 2 |
