Feature: A planned stop cuts off no request

  @fixture.six_hosts
  Scenario: All six hosts are restarted one after the other under load
    # A small balancer sends callers to hosts that show themselves ready, some on
    # kept connections, some streaming. Each host in turn is asked to stop,
    # drains, hands over, exits with 0, and its replacement of the same name joins.
    Given the hosts have shared out the account's limits
    And callers send requests and streams all the time
    When each host in turn is stopped and replaced
    Then every exit code was 0
    And no request failed
    And the hosts know each other again

  @fixture.two_hosts
  Scenario: A stream outlasts the bound
    # The host can't wait for ever: it says what is still open and exits with 1.
    Given a stream of 30 s runs at host "a1"
    When host "a1" is asked to stop
    Then its exit code is 1
    And its log names the open request
