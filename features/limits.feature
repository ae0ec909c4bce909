Feature: Limits of client accounts, enforced over all hosts

  Scenario: Hosts that all demand the whole limit don't exceed it together
    Given 6 hosts in 3 zones share a limit
    When every host demands the whole limit for 60 rounds
    Then the shares in use never exceed 1.0
    And at least 0.95 of the limit is in use

  Scenario: Shares follow the demand
    # The demand moves from one host to another in another zone. The first host must
    # release its share and the second acquire it.
    Given 6 hosts in 3 zones share a limit
    When host 4 demands the whole limit for 60 rounds, then host 5 for 60 rounds
    Then the shares in use never exceed 1.0
    And at least 0.95 of the limit is in use

  Scenario: Shares follow the demand when the whole limit is held
    # The whole limit is held. The reported shares are rounded up, so their sum is
    # slightly above the limit. If that stopped hosts from releasing, no share would
    # ever move again.
    Given 390 hosts in 7 zones share a limit
    When host 4 demands the whole limit for 10 rounds, then host 5 for 60 rounds
    Then the shares in use never exceed 1.0
    And at least 0.95 of the limit is in use

  Scenario Outline: A rolling restart doesn't raise the limit
    # Each host transfers its shares to a host of its zone and gets portions back when
    # it restarts, while others acquire what they see as free.
    Given <hosts> hosts in <zones> zones share a limit
    When all of them are restarted one by one under load
    Then the shares in use never exceed 1.05
    And at least 0.44 of the limit is in use

    Examples:
      | hosts | zones |
      | 6     | 3     |
      | 60    | 7     |

  Scenario: The share of a dead host becomes free
    Given 6 hosts in 3 zones share a limit
    When host 4 demands the whole limit for 60 rounds and dies, then host 5 for 60 rounds
    Then the shares in use never exceed 1.0
    And at least 0.95 of the limit is in use

  Scenario Outline: The limit is enforced during a network partition of two zones
    # The network partition falls into a steep rise of the demand: hosts on all sides
    # are acquiring shares and don't hear of each other's last ones. Acquired shares
    # that are not in use yet must be released, and each side must keep to its own. The
    # limit may be exceeded by at most 5 in 100.
    Given <hosts> hosts in <zones> zones share a limit
    When the demand rises at 3 hosts and zones "0, 1" are cut off <delay> rounds later
    Then the shares in use never exceed 1.05

    Examples:
      | hosts | zones | delay |
      | 6     | 3     | 2     |
      | 6     | 3     | 6     |
      | 6     | 3     | 10    |
      | 6     | 3     | 14    |
      | 60    | 7     | 8     |
      | 60    | 7     | 12    |

  Scenario: The first request is admitted before the first round
    Given account limits of 2 hosts for 40 requests a second
    Then the first request at each host is admitted

  Scenario: Requests above the share are refused with a retry delay
    Given account limits of 2 hosts for 40 requests a second
    When 500 requests arrive at host 1 within 1 s
    Then at most 100 of them are admitted
    And the refusal is "rate_limited" with a retry delay

  Scenario: Two hosts together enforce the rate
    # Both hosts get twice the limit for a minute.
    Given account limits of 2 hosts for 40 requests a second
    When 80 requests a second arrive at each host for 60 s
    Then between 0.9 and 1.05 times 40 requests a second were admitted in the last 30 s

  Scenario: Concurrent streams are bounded, and a finished one frees its slot
    Given account limits of 2 hosts for 8 concurrent streams
    When 20 streams begin at each host over 30 s
    Then at most 8 streams are open together
    When all streams of host 1 finish
    Then another stream begins at host 1

  Scenario: The spending of a dead host still counts
    # Host 1 spends half of the day's budget and dies. The other host must remember
    # that, and admit no more than the rest.
    Given account limits of 2 hosts for 100.0 spent a day
    When host 1 spends 50.0 over 30 s and dies
    Then host 2 spends at most 55.0 before requests are refused

  Scenario: A host that runs short of streams borrows from its zone between rounds
    # A burst arrives at one host. Its share would follow several rounds later, and it
    # would refuse requests that are far below the account's limit. The other host must
    # give up a fraction first, so that both together never allow more than the limit.
    Given account limits of 2 hosts for 40 concurrent streams
    When 24 streams begin at host 1 at once, borrowing like a running host
    Then all 24 streams are open
    And both hosts together allow at most 40 streams

  Scenario: Loans don't raise the limit
    # Both hosts get far more than the limit and borrow all the time.
    Given account limits of 2 hosts for 40 requests a second
    When 60 requests a second arrive at each host for 40 s, borrowing like a running host
    Then at most 1.05 times 40 requests a second were admitted in all, and a burst of 80

  Scenario: A loan whose answer is lost doesn't raise the limit
    # The lender has subtracted the loan and the borrower never gets it. Then less than
    # the limit is used, never more.
    Given account limits of 2 hosts for 40 concurrent streams
    When the answer to a loan request of host 1 is lost
    Then both hosts together allow at most 40 streams

  Scenario: A negative loan has no effect
    # A faulty peer requests a negative fraction. If it were accepted, the lender's
    # share would grow although no other host gave anything up.
    Given account limits of 2 hosts for 40 concurrent streams
    When a peer requests from host 2 a fraction of -0.2 of the streams
    Then both hosts together allow at most 40 streams

  Scenario: A host transfers its shares before a planned stop
    # The other host of the zone must be able to use the shares at once. Otherwise they
    # would be taken over several rounds later, and a rolling restart would leave little
    # of the limit in use.
    Given account limits of 2 hosts for 40 concurrent streams
    When host 1 transfers its shares after 20 rounds
    Then host 2 allows at least 0.9 of the 40 streams
    And both hosts together allow at most 40 streams

  Scenario: A new account can use its whole limit at once
    # An account is published and gets requests at once. The summaries show that no host
    # holds a share of it, so each host must take an equal share at once.
    Given account limits of 2 hosts for 40 requests a second
    And the hosts have run for 6 rounds when the account is published
    When 40 requests a second arrive at each host for 3 s, borrowing like a running host
    Then at least 0.9 times 40 requests a second were admitted in all
    And the shares of all hosts together are at most 1.0

  Scenario: Hosts that start together get equal shares
    # No host holds shares to give. None may be ready before it knows the others, or the
    # first ones would divide the whole limit by too few. Half of the fraction that
    # stays unheld has been released by then.
    Given account limits of 2 hosts for 40 requests a second
    When the hosts start together and wait for their initial shares
    Then each host holds 0.475 of the limit

  Scenario: A replaced host starts with a portion of its zone's shares
    # The host may be ready only then. Without its portion it would refuse its first
    # requests; with a share in addition to the others', all together would have more
    # than the limit.
    Given account limits of 2 hosts for 40 requests a second
    When the hosts start together and wait for their initial shares
    And host 1 transfers its shares and is replaced
    Then host 1 has its initial shares and holds 0.475 of the limit
    And the shares of all hosts together are at most 1.0

  Scenario: A host whose zone doesn't answer in time waits for its share
    # Guards against a host that is ready with hardly any share of a limit and refuses
    # requests.
    Given account limits of 2 hosts in one zone for 50 requests a second
    And both have their initial shares
    When host 2 transfers its shares and restarts, and host 1 does not answer it for 5 rounds
    Then host 2 has no initial shares
    When host 1 answers again
    Then host 2 has its initial shares and holds at least 0.2 of the limit

  Scenario: A restarted host that was killed gets no additional share
    # Its zone has no other host that could give it a portion, and a host of another
    # zone has acquired nearly the whole limit meanwhile. It must start with what is
    # left.
    Given account limits of 2 hosts in 2 zones for 40 requests a second
    When host 1 is killed, host 2 acquires all, and host 1 restarts
    Then the shares of all hosts together are at most 1.0

  Scenario: A host that learns late of an account takes only the free fraction
    # The host was cut off from the log while another host acquired nearly the whole
    # limit. As the demand there continues, the late host must not add an equal share.
    Given account limits of 2 hosts for 40 requests a second
    And the hosts have run for 6 rounds when the account is published
    When only host 1 learns of it and demands the whole limit for 40 rounds, then host 2 learns of it
    Then the shares of all hosts together are at most 1.0

  Scenario: A host without contact to others starts after a while anyway
    # The host can't tell whether it is alone or isolated, so it starts with a small
    # share.
    Given account limits of 2 hosts for 40 requests a second
    And host 2 is dead
    When host 1 starts alone for 8 rounds
    Then host 1 has its initial shares and holds 0.25 of the limit
