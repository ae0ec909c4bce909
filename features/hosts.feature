Feature: Hosts find each other and notice who is gone

  Scenario Outline: All hosts start at once
    Given <zones> zones of <hosts> hosts
    When they have met
    Then every host holds just the running hosts to be live
    And no host sends more than 9000 bytes a second of gossip

    Examples:
      | zones | hosts |
      | 1     | 1     |
      | 3     | 2     |
      | 3     | 8     |

  Scenario: A host dies without a word
    # The ring of pings reaches the dead host within a second; the indirect pings
    # stay out too, so it is suspected, and held dead once nobody refutes it.
    Given 3 zones of 2 hosts
    And they have met
    When host "b2" dies
    Then within 15 s every host holds just the running hosts to be live

  Scenario: A host stops in a planned way
    # It tells its zone that it leaves, so nobody waits for a suspicion.
    Given 3 zones of 2 hosts
    And they have met
    When host "b2" leaves
    Then within 5 s every host holds just the running hosts to be live

  Scenario: A host is replaced by one of the same name
    # The new one's incarnation is higher, so what is told of the old one is void.
    Given 3 zones of 2 hosts
    And they have met
    When host "b2" dies
    And host "b2" starts again
    Then within 15 s every host holds just the running hosts to be live

  Scenario: Links lose one message in twenty and their delay varies
    # Indirect pings and refutations keep live hosts from being held dead for long.
    Given 3 zones of 4 hosts, links that lose 0.05 and vary by 0.05 s
    When 60 s pass
    Then within 20 s every host holds just the running hosts to be live
    And at least 1 refutation was counted

  Scenario: One host is heard by nobody of its zone
    # a1 sends to the others in vain. They suspect it; it can't refute, so they
    # hold it dead, and work that they would send to it goes elsewhere. On
    # healing it refutes without an operator.
    Given 3 zones of 3 hosts
    And they have met
    When messages of host "a1" are lost
    Then within 20 s host "a2" does not hold "a1" to be live
    When the links heal
    Then within 30 s every host holds just the running hosts to be live

  Scenario: A rack dies
    # Half of zone a goes at once; the others must agree on who is left.
    Given 3 zones of 6 hosts
    And they have met
    When hosts "a4, a5, a6" die
    Then within 25 s every host holds just the running hosts to be live

  Scenario: A third of all hosts restarts at once
    Given 3 zones of 6 hosts
    And they have met
    When hosts "a1, a2, b1, b2, c1, c2" die
    And hosts "a1, a2, b1, b2, c1, c2" start again
    Then within 30 s every host holds just the running hosts to be live

  Scenario: A zone is cut off and comes back
    # Zone c sees the others as silent, and they see it so; each goes on with its
    # own hosts. On healing both sides meet again without an operator.
    Given 3 zones of 2 hosts
    And they have met
    When zone "c" is cut off
    Then within 15 s host "a1" shows zone "c" silent
    And within 15 s host "c1" shows zone "a" silent
    When the links heal
    Then within 15 s every host holds just the running hosts to be live
    And host "a1" shows zone "c" heard

  Scenario: Two zones lose each other and both reach the third
    # Digests go round over zone b, so neither zone looks silent.
    Given 3 zones of 2 hosts
    And they have met
    When zones "a" and "c" lose each other
    And 30 s pass
    Then host "a1" shows zone "c" heard
    And host "c1" shows zone "a" heard

  Scenario: A zone is split and each half holds the other dead
    # After the cut the halves ping each other no more; the join task finds
    # the dead members again and both sides refute.
    Given 1 zones of 6 hosts
    And they have met
    When hosts "a1, a2, a3" and "a4, a5, a6" lose each other
    And 20 s pass
    Then host "a1" does not hold "a4" to be live
    When the links heal
    Then within 40 s every host holds just the running hosts to be live

  Scenario: A resumed host doesn't blame the others for its own pause
    # Its probes look unanswered because the answers wait unread. If it acted on
    # them it would hold all others dead and take over their work.
    Given 1 zones of 3 hosts
    And they have met
    When host "a1" sees its clock jump by 30 s
    Then host "a1" holds 3 hosts to be live
    And host "a1" counted "loop_paused"

  Scenario: An announcement reaches every host of every zone
    Given 3 zones of 4 hosts
    And they have met
    When host "a1" announces number 7
    Then within 2 s every host has heard number 7

  Scenario: Summaries are whole inside a zone and merged between zones
    Given 3 zones of 2 hosts
    And they have met
    When every host publishes the load of its number
    Then within 10 s host "a1" holds loads "a1=1, a2=2" and zones "b=3, c=3"

  Scenario: A host asks another zone's host and a dead one
    Given 3 zones of 2 hosts
    And they have met
    When host "a1" asks "c2" for its echo
    Then the answer is "c2 heard a1"
    When host "c2" dies
    And host "a1" asks "c2" for its echo
    Then the peer is silent by "timeout"

  Scenario: Malformed messages have no effect but a counter
    # A stray or hostile sender on the peer port must not change what is known.
    Given 1 zones of 2 hosts
    And they have met
    When 3000 random and mutated messages reach host "a1"
    Then every host holds just the running hosts to be live
    And host "a1" counted "peer_message_malformed"

  Scenario Outline: The platform's host list and membership say different things
    # The list lags by up to a minute and may be wrong while the platform is cut
    # off. Membership decides who is a peer; where the list says something else
    # for longer than it lags, status shows both and a counter tells.
    Given a host that the list names "<listed>" and membership sees "<seen>"
    Then status shows it as "<shown>"
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
