Feature: Requests that end each endpoint that begins to answer them

  @fixture.crash_hosts
  Scenario: A prompt's part that ends engines is kept from them, and all else of its route is served
    # Guards against engines that end one after the other because requests with one part go on to them.
    Given sound requests come at hosts 0, 1, 2 for 3 s
    When requests with a fatal part come at hosts 0, 1, 2 too until five engines have ended
    And all of them go on for 9 s
    Then at most 3 requests with the part reached engines later than 3 s after the fifth end
    And later than 6 s after it sound ones began at the first attempt at least half as often as before
    And those kept from engines were refused within 1 s as not run, without a time to come back

  @fixture.crash_hosts
  Scenario: A prompt's part that ends engines is kept from them at a host that reaches none by itself
    # Guards against a host whose peers relay its requests and that does not know of the part.
    Given host 0 is cut off from all of them
    And sound requests come at hosts 0, 1, 2 for 2 s
    When requests with a fatal part come at hosts 0, 1, 2 too until five engines have ended
    And requests with the part come at host 0 only, for 6 s
    Then at most 3 requests with the part reached engines later than 3 s after the fifth end
    And those kept from engines were refused within 1 s as not run, without a time to come back

  @fixture.crash_hosts
  Scenario: A prompt's part that ends engines is kept from them at a host that starts afterwards
    # Guards against a host that has seen none of the ends and does not know of the part.
    Given sound requests come at hosts 0, 1, 2 for 2 s
    When requests with a fatal part come at hosts 0, 1, 2 too until five engines have ended
    And host 3 starts
    And requests with the part come at host 3 only, for 5 s
    Then at most 3 requests with the part reached engines later than 3 s after the fifth end
    And those kept from engines were refused within 1 s as not run, without a time to come back

  @fixture.crash_hosts
  Scenario: No prompt is blamed for engines that end by themselves
    # Guards against parts that many sound requests share and that are taken for the cause.
    Given sound requests come at hosts 0, 1, 2 for 2 s
    When ten engines end whatever they run, one every 0.4 s
    And all of them go on for 5 s
    Then later than 3 s after the last end all sound ones began at the first attempt

  @fixture.crash_hosts
  Scenario: A new prompt is not blamed for engines that all end at once
    # Guards against a part that no engine had begun yet, and that is taken for the cause.
    Given sound requests come at hosts 0, 1, 2 for 1 s
    When requests with a new part come at hosts 0, 1, 2, and all engines end before they begin one
    And after 3 s more of them come
    And all of them go on for 2 s
    Then later than 3 s after the last end all sound ones began at the first attempt

  @fixture.crash_hosts
  Scenario: A fatal operation of a plain service ends no more endpoints than its route has attempts
    # Guards against an operation that ends one endpoint after the other.
    Given callers were served by each host for 2 s
    When an order and a lookup come that end each endpoint that begins to answer them
    Then both callers got 502
    And the order ended at most 1 endpoint, and the lookup at most 3
