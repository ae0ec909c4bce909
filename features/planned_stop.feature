Feature: A planned stop interrupts no request

  @fixture.six_hosts
  Scenario: All six hosts are restarted one after the other under load
    # A small balancer sends callers to hosts that report to be ready, some of them on persistent
    # connections and some with streams. Each host in turn is stopped: it drains, hands over its
    # duties and exits with 0, and its replacement of the same name joins.
    Given the hosts have shared out the account's limits
    And callers send requests and streams all the time
    When each host in turn is stopped and replaced
    Then every exit code was 0
    And no request failed
    And all hosts are alive in each other's status again

  @fixture.two_hosts
  Scenario: A stream takes longer than the drain timeout
    # The host doesn't wait forever: it logs which requests are still open and exits with 1.
    Given a stream of 30 s runs at host "a1"
    When host "a1" is asked to stop
    Then its exit code is 1
    And its log contains the id of the open request
