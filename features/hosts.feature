Feature: Membership of hosts

  Scenario Outline: All hosts start at once
    Given <zones> zones of <hosts> hosts
    When all hosts have discovered each other
    Then every host takes exactly the running hosts to be live
    And no host sends more than 9000 bytes a second of gossip

    Examples:
      | zones | hosts |
      | 1     | 1     |
      | 3     | 2     |
      | 3     | 8     |

  Scenario: A host dies without a word
    # The other hosts ping it within a second. Neither direct nor indirect pings are acknowledged,
    # so it is suspected, and held dead when it does not refute that.
    Given 3 zones of 2 hosts
    And all hosts have discovered each other
    When host "b2" dies
    Then within 15 s every host takes exactly the running hosts to be live

  Scenario: A host stops in a planned way
    # It tells its zone, so that the others need not wait for a suspicion to time out.
    Given 3 zones of 2 hosts
    And all hosts have discovered each other
    When host "b2" leaves
    Then within 5 s every host takes exactly the running hosts to be live

  Scenario: A host is replaced by one of the same name
    # The new host's higher incarnation overrides what is known of the old one.
    Given 3 zones of 2 hosts
    And all hosts have discovered each other
    When host "b2" dies
    And host "b2" starts again
    Then within 15 s every host takes exactly the running hosts to be live

  Scenario: Links lose one message in twenty and their delay varies
    # Indirect pings and refutations must keep live hosts from being held dead for long.
    Given 3 zones of 4 hosts, links with loss 0.05 and jitter 0.05 s
    When 60 s pass
    Then within 20 s every host takes exactly the running hosts to be live
    And at least 1 refutation was counted

  Scenario: Messages of one host reach no host of its zone
    # The others suspect a1, which can't refute that. They hold it dead and send its work elsewhere.
    # When the messages arrive again, a1 refutes without action by an operator.
    Given 3 zones of 3 hosts
    And all hosts have discovered each other
    When all messages from host "a1" are lost
    Then within 20 s host "a2" does not take "a1" to be live
    When the partition heals
    Then within 30 s every host takes exactly the running hosts to be live

  Scenario: A rack dies
    # Half of zone a fails at the same time; the others must agree on which hosts are left.
    Given 3 zones of 6 hosts
    And all hosts have discovered each other
    When hosts "a4, a5, a6" die
    Then within 25 s every host takes exactly the running hosts to be live

  Scenario: A third of all hosts restarts at once
    Given 3 zones of 6 hosts
    And all hosts have discovered each other
    When hosts "a1, a2, b1, b2, c1, c2" die
    And hosts "a1, a2, b1, b2, c1, c2" start again
    Then within 30 s every host takes exactly the running hosts to be live

  Scenario: A zone is cut off and comes back
    # Zone c and the others report each other as silent, and each side continues with its own hosts.
    # When the partition heals, both sides reconnect without action by an operator.
    Given 3 zones of 2 hosts
    And all hosts have discovered each other
    When zone "c" is partitioned from the others
    Then within 15 s host "a1" reports zone "c" as silent
    And within 15 s host "c1" reports zone "a" as silent
    When the partition heals
    Then within 15 s every host takes exactly the running hosts to be live
    And host "a1" does not report zone "c" as silent

  Scenario: Two zones are partitioned from each other, and a third one reaches both
    # Heartbeats and summaries travel through zone b, so neither zone becomes silent.
    Given 3 zones of 2 hosts
    And all hosts have discovered each other
    When zones "a" and "c" are partitioned from each other
    And 30 s pass
    Then host "a1" does not report zone "c" as silent
    And host "c1" does not report zone "a" as silent

  Scenario: A zone is partitioned and each half holds the other dead
    # The halves ping each other no more. The periodic joins find the dead members again, and both
    # sides refute.
    Given 1 zones of 6 hosts
    And all hosts have discovered each other
    When hosts "a1, a2, a3" and "a4, a5, a6" are partitioned from each other
    And 20 s pass
    Then host "a1" does not take "a4" to be live
    When the partition heals
    Then within 40 s every host takes exactly the running hosts to be live

  Scenario: A host that was paused does not suspect the others
    # Its probes look unanswered because the acks wait unread. If it acted on that, it would hold
    # all others dead and take over their work.
    Given 1 zones of 3 hosts
    And all hosts have discovered each other
    When the clock of host "a1" jumps by 30 s
    Then host "a1" takes 3 hosts to be live
    And host "a1" counted "loop_paused"

  Scenario: An announcement reaches every host of every zone
    Given 3 zones of 4 hosts
    And all hosts have discovered each other
    When host "a1" announces number 7
    Then within 2 s every host has received number 7

  Scenario: Summaries are exchanged per host inside a zone and merged between zones
    Given 3 zones of 2 hosts
    And all hosts have discovered each other
    When every host publishes its number as its load
    Then within 10 s host "a1" has host loads "a1=1, a2=2" and zone loads "b=3, c=3"

  Scenario: A host sends requests to a host of another zone and to a dead host
    Given 3 zones of 2 hosts
    And all hosts have discovered each other
    When host "a1" sends an echo request to "c2"
    Then the answer is "c2 heard a1"
    When host "c2" dies
    And host "a1" sends an echo request to "c2"
    Then the request fails with "timeout"

  Scenario: Malformed messages are counted and have no other effect
    # A stray or malicious sender at the peer port must not change what a host knows.
    Given 1 zones of 2 hosts
    And all hosts have discovered each other
    When 3000 random and mutated messages reach host "a1"
    Then every host takes exactly the running hosts to be live
    And host "a1" counted "peer_message_malformed"

  Scenario Outline: The platform's host list differs from membership
    # The list lags by up to a minute and may be wrong while the platform is unreachable. Membership
    # decides which hosts are peers; where the list differs for longer than it lags, the status shows
    # both and a counter is incremented.
    Given a host that is "<listed>" in the list and "<seen>" in membership
    Then its status is "<shown>"
    And after 2 minutes it was counted <counted> times

    Examples:
      | listed  | seen    | shown                    | counted |
      | live    | alive   | alive                    | 0       |
      | live    | suspect | suspect                  | 0       |
      | live    | dead    | dead, listed live        | 1       |
      | live    | left    | left, listed live        | 1       |
      | live    | silent  | silent                   | 0       |
      | live    | never   | not seen, listed live    | 1       |
      | leaving | alive   | alive, listed leaving    | 1       |
      | leaving | suspect | suspect                  | 0       |
      | leaving | dead    | left                     | 0       |
      | leaving | left    | left                     | 0       |
      | leaving | silent  | silent                   | 0       |
      | leaving | never   | nothing                  | 0       |
      | absent  | alive   | alive, not listed        | 1       |
      | absent  | suspect | suspect                  | 0       |
      | absent  | dead    | dead                     | 0       |
      | absent  | left    | left                     | 0       |
      | absent  | silent  | silent                   | 0       |
      | no list | alive   | alive                    | 0       |
      | no list | dead    | dead                     | 0       |
