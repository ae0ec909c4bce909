Feature: Limits of client accounts over all hosts

  Scenario: Hosts that all want more never use more than the limit together
    Given 6 hosts in 3 zones share a limit
    When every host demands the whole limit for 60 rounds
    Then the parts in use never exceed 1.0
    And at least 0.95 of the limit is in use

  Scenario: Shares follow the demand
    # The demand moves from one host to another in another zone. The first gives
    # its part back, the second takes it.
    Given 6 hosts in 3 zones share a limit
    When host 4 demands it all for 60 rounds, then host 5 for 60 rounds
    Then the parts in use never exceed 1.0
    And at least 0.95 of the limit is in use

  Scenario: Shares that sum up to the whole limit still follow the demand
    # All parts are held. Summed up as they are heard they are a hair more than the
    # limit; were giving back stopped by that, nobody's part would ever move.
    Given 390 hosts in 7 zones share a limit
    When host 4 demands it all for 10 rounds, then host 5 for 60 rounds
    Then the parts in use never exceed 1.0
    And at least 0.95 of the limit is in use

  Scenario Outline: Hosts that are restarted one after the other add nothing
    # Each hands its parts to a host of its zone and takes a portion when it is back,
    # while others take what they see as free.
    Given <hosts> hosts in <zones> zones share a limit
    When all of them are restarted one after the other under load
    Then the parts in use never exceed 1.05
    And at least 0.44 of the limit is in use

    Examples:
      | hosts | zones |
      | 6     | 3     |
      | 60    | 7     |

  Scenario: A dead host returns its share
    Given 6 hosts in 3 zones share a limit
    When host 4 demands it all for 60 rounds and dies, then host 5 for 60 rounds
    Then the parts in use never exceed 1.0
    And at least 0.95 of the limit is in use

  Scenario Outline: The limit holds while two zones are cut off
    # The cut falls into a steep rise of the demand: hosts of all sides are taking
    # shares, and nobody hears of the others' last ones. What was taken and not yet
    # in use is given back, and each side keeps to its own. The bound is 5 in 100.
    Given <hosts> hosts in <zones> zones share a limit
    When the demand rises at 3 hosts and zones "0, 1" are cut off <delay> rounds later
    Then the parts in use never exceed 1.05

    Examples:
      | hosts | zones | delay |
      | 6     | 3     | 2     |
      | 6     | 3     | 6     |
      | 6     | 3     | 10    |
      | 6     | 3     | 14    |
      | 60    | 7     | 8     |
      | 60    | 7     | 12    |

  Scenario: The first request needs no round
    Given account limits of 2 hosts for 40 requests a second
    Then the first request at each host passes

  Scenario: Requests above the share are refused with a time to come back
    Given account limits of 2 hosts for 40 requests a second
    When 500 requests come to host 1 within 1 s
    Then at most 100 of them pass
    And the refusal is "rate_limited" with a time to come back

  Scenario: Two hosts together keep to the rate
    # Both hosts get twice the limit for a minute.
    Given account limits of 2 hosts for 40 requests a second
    When 80 requests a second come to each host for 60 s
    Then between 0.9 and 1.05 times 40 requests a second passed in the last 30 s

  Scenario: Concurrent streams are bounded, and an end makes room
    Given account limits of 2 hosts for 8 concurrent streams
    When 20 streams begin at each host over 30 s
    Then at most 8 streams are open together
    When all streams of host 1 end
    Then another stream begins at host 1

  Scenario: A dead host's spending still counts
    # Host 1 spends half of the day's budget and dies. Its peer remembers, and
    # lets through no more than the rest.
    Given account limits of 2 hosts for 100.0 spent a day
    When host 1 spends 50.0 over 30 s and dies
    Then host 2 spends at most 55.0 before it is refused

  Scenario: A host that runs short of streams borrows from its zone, between two rounds
    # A burst comes to one host. Its share would follow only rounds later, and its
    # callers would be refused while the account is far below its limit. The other
    # host gives up a part first, so both together never allow more.
    Given account limits of 2 hosts for 40 concurrent streams
    When 24 streams begin at host 1 at once, borrowing as the host does
    Then all 24 streams are open
    And both hosts together allow at most 40 streams

  Scenario: A loan moves requests, and makes none
    # Both hosts are asked for far more than the limit; each borrows all the time.
    Given account limits of 2 hosts for 40 requests a second
    When 60 requests a second come to each host for 40 s, borrowing as the host does
    Then at most 1.05 times 40 requests a second passed in all, and a burst of 80

  Scenario: A lost answer to a loan loses the loan
    # The lender has taken it off and the borrower never hears. The limit is then
    # used a little less, never more.
    Given account limits of 2 hosts for 40 concurrent streams
    When the answer to a loan of host 1 gets lost
    Then both hosts together allow at most 40 streams

  Scenario: A negative loan has no effect
    # A broken peer asks for less than nothing. Were it read, the lender would
    # gain a part that no other host gave up.
    Given account limits of 2 hosts for 40 concurrent streams
    When a peer asks host 2 for a part of -0.2 of the streams
    Then both hosts together allow at most 40 streams

  Scenario: A host that stops as planned hands its parts over
    # The other host of the zone can use them at once. Else they would be taken over
    # rounds later, and hosts restarted one after the other would leave little to use.
    Given account limits of 2 hosts for 40 concurrent streams
    When host 1 hands its parts over after 20 rounds
    Then host 2 allows at least 0.9 of the 40 streams
    And both hosts together allow at most 40 streams

  Scenario: A new account may use its limit from the first second
    # A publication brings an account, and its callers come at once. No host holds
    # anything of it, as the summaries show, so each takes an equal part at once.
    Given account limits of 2 hosts for 40 requests a second
    And the hosts have run for 6 rounds when the account is published
    When 40 requests a second come to each host for 3 s, borrowing as the host does
    Then at least 0.9 times 40 requests a second passed in all
    And the parts of all hosts together are at most 1.0

  Scenario: Hosts that start together begin with equal parts
    # Nobody holds anything to give. None is ready before it knows the others, or
    # the first ones would share the whole limit among too few. Half of what nobody
    # is to hold is given back by then.
    Given account limits of 2 hosts for 40 requests a second
    When the hosts start together and wait until they have begun
    Then each host holds 0.475 of the limit

  Scenario: A replaced host begins with a portion of its zone's parts
    # It is ready only then. Had it begun with next to nothing, it would refuse its
    # first callers; had it begun with a part on top, all would have too much.
    Given account limits of 2 hosts for 40 requests a second
    When the hosts start together and wait until they have begun
    And host 1 hands its parts over and is replaced
    Then host 1 has begun and holds 0.475 of the limit
    And the parts of all hosts together are at most 1.0

  Scenario: A host whose zone does not answer in time waits for its part
    # Guards against a host that is ready with next to nothing of a limit, and refuses callers.
    Given account limits of 2 hosts in one zone for 50 requests a second
    And both have begun
    When host 2 hands its parts over and starts anew, and host 1 does not answer it for 5 rounds
    Then host 2 has not begun
    When host 1 answers again
    Then host 2 has begun and holds at least 0.2 of the limit

  Scenario: A host that was killed starts again without a part on top
    # Its zone has no other host that could give it a portion, and meanwhile a host
    # of another zone has taken nearly all. It begins with what that one leaves.
    Given account limits of 2 hosts in 2 zones for 40 requests a second
    When host 1 is killed, host 2 takes all, and host 1 starts again
    Then the parts of all hosts together are at most 1.0

  Scenario: A host that hears late of an account takes only what is left
    # Its log was cut off while another host took nearly all. As that one's demand
    # stays, the late host must not add an equal part to it.
    Given account limits of 2 hosts for 40 requests a second
    And the hosts have run for 6 rounds when the account is published
    When only host 1 hears of it and demands it all for 40 rounds, then host 2 hears
    Then the parts of all hosts together are at most 1.0

  Scenario: A host that hears nobody begins after a while all the same
    # It can't tell whether it is alone or cut off, so it begins with a small part.
    Given account limits of 2 hosts for 40 requests a second
    And host 2 is dead
    When host 1 starts alone for 8 rounds
    Then host 1 has begun and holds 0.25 of the limit
