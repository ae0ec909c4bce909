Feature: Endpoints that name the rate that they take from all hosts together

  @fixture.host_pair
  Scenario: All hosts together keep to the rate that an endpoint names in its answers
    # Guards against a rate limit that no host, or each host for itself, keeps to.
    Given the endpoint "stock-1" names a limit of 1.0 requests a second, and both hosts know it
    When callers at both hosts send 60 lookups within 4 s
    Then "stock-1" received at most 11 of them
    And the others are refused as not run, with a time to come back
