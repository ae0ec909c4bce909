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
      | what                     | hosts   |
      | a lookup                 | 0, 1, 2 |
      | a lookup                 | 0       |
      | a lookup with a body     | 0, 1, 2 |
      | an order                 | 0, 1, 2 |
      | a draft                  | 0, 1, 2 |
      | a draft                  | 1       |
      | a draft without parts    | 0, 1, 2 |
      | a draft of two callers   | 0, 1, 2 |
      | a draft after two events | 0, 1, 2 |
      | a draft after two events | 2       |

  @fixture.crash_hosts
  Scenario Outline: <what> that ends endpoints is kept from them by a host that reaches them through peers
    # Guards against a host whose attempts reach endpoints over a peer, which alone sees that they end.
    Given host 0 is cut off from all of them
    And sound drafts and lookups come at hosts 1, 2 for 3 s
    When <what> that ends each endpoint at work on it is repeated for 6 s at hosts 0
    Then it reached no endpoint later than 0.6 s after the third end under it
    And what was kept from endpoints was refused within 0.5 s as not run, without a time to come back

    Examples:
      | what                     |
      | a lookup                 |
      | a draft after two events |

  @fixture.crash_hosts
  Scenario: A request that ends endpoints is kept from them by a host that starts afterwards
    # Guards against a host that has seen none of the ends.
    Given sound drafts and lookups come at hosts 0, 1, 2 for 3 s
    When a lookup that ends each endpoint at work on it is repeated for 2 s at hosts 0, 1, 2
    And host 3 starts, and a lookup that ends each endpoint is repeated for 2 s at hosts 3
    Then it reached no endpoint later than 0.6 s after the third end under it

  @fixture.crash_hosts
  Scenario: A request that ends endpoints is kept from them when the host that saw the ends stops
    # Guards against knowledge that ends with the one host that has it.
    Given sound drafts and lookups come at hosts 1, 2 for 3 s
    When a lookup that ends each endpoint at work on it is repeated for 1 s at hosts 0
    And host 0 is asked to stop, and a lookup that ends each endpoint is repeated for 4 s at hosts 1, 2
    Then it reached no endpoint later than 0.6 s after the third end under it

  @fixture.crash_hosts
  Scenario: A lookup that is in demand is not blamed for endpoints that all end at once
    # Guards against a sound request that many callers share, and that is at each endpoint of a zone.
    Given sound drafts and lookups come at hosts 0, 1, 2 for 3 s
    When the same lookup comes 40 times a second at hosts 0, 1, 2, and all endpoints end at once, twice
    Then from 3 s after the last end on each of them was answered
