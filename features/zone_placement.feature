Feature: Requests go to another zone only where a host of it has room for them

  Scenario Outline: Another zone is asked if it looks better with its mean queue
    # Load: all hosts choose the engines of another zone that looked idle a second ago. An engine
    # there that seems idle has as long a queue as the others by the time a request arrives.
    Given 4 engines in the zone "a" with <own> s of queue, and 4 in the zone "b" with <other> s
    When a host of the zone "a" chooses an engine of a service with a light cache
    Then it stays at the engine with the shortest queue, and asks <asked>

    Examples:
      | own                | other              | asked    |
      | 1.0, 1.0, 1.0, 1.0 | 0.0, 1.2, 1.2, 1.2 | no zone  |
      | 1.0, 1.0, 1.0, 1.0 | 0.0, 0.8, 0.8, 0.8 | zone "b" |
      | 1.0, 1.2, 1.2, 1.2 | 0.1, 0.1, 0.1, 0.1 | zone "b" |
      | 0.0, 1.0, 1.0, 1.0 | 0.0, 0.0, 0.0, 0.0 | no zone  |
      | 0.3, 0.3, 0.3, 0.3 | 0.2, 0.2, 0.2, 0.2 | no zone  |
      | 0.3, 0.3, 0.3, 0.3 | 0.1, 0.1, 0.1, 0.1 | zone "b" |

  Scenario: The queue of the own zone is that of the time passed in
    # Guards against a decision that reads a clock of its own.
    Given 4 engines in the zone "a" with 0.0, 0.0, 0.0, 0.0 s of queue, and 4 in the zone "b" with 0.1, 0.1, 0.1, 0.1 s
    And notices at 100.0 that each engine of the zone "a" is busy for 1.0 s
    Then a choice at 100.1 names the zone "b", and one at 100.9 none

  Scenario: Without an engine in the own zone a request goes to the best one of all
    Given 0 engines in the zone "a" with no s of queue, and 4 in the zone "b" with 0.5, 0.1, 0.9, 0.9 s
    When a host of the zone "a" chooses an engine of a service with a light cache
    Then it chooses "b1" at once, and asks no zone

  Scenario: A silent zone is not asked unless waiting costs more than a timeout
    # Failure: a zone is cut off. A question there is not answered, and neither is a request.
    Given 4 engines in the zone "a" with 1.0, 1.0, 1.0, 1.0 s of queue, and 4 in the zone "b" with 0.0, 0.0, 0.0, 0.0 s
    And the zone "b" is silent
    When a host of the zone "a" chooses an engine of a service with a light cache
    Then it stays at the engine with the shortest queue, and asks no zone

  Scenario Outline: Services with a large cache per token are placed as before
    # Guards existing installations: the choices were recorded before zones were compared.
    When the recorded requests are placed for a service whose cache takes <bytes> bytes a token
    Then the engines chosen are <same>

    Examples:
      | bytes  | same          |
      | 0      | the recorded  |
      | 163840 | the recorded  |
      | 327680 | the recorded  |
      | 18432  | not the recorded |

  Scenario Outline: A question that brings no endpoint costs at most its wait
    # Failure between the question and the answer, or before it.
    Given 6 hosts in the zones "ab" before 2 engines each, that may ask other zones
    And the engines of the zone "a" are busy for 3.0 s, those of "b" are idle
    When a request arrives in the zone "a" while <fault>
    Then the question ends as "<outcome>" after at most <seconds> s, and the request stays in "a"

    Examples:
      | fault                                           | outcome     | seconds |
      | the hosts of "b" are dead                       | late        | 0.051   |
      | the hosts of "b" are cut off one way            | late        | 0.051   |
      | messages between zones take 0.04 s              | late        | 0.051   |
      | the hosts of "b" are stopping                   | late        | 0.051   |
      | the hosts of "b" run no service with that name  | empty       | 0.02    |
      | the engines of "b" are busy for their own zone  | empty       | 0.02    |
      | the engines of "b" become leaving               | not_allowed | 0.02    |
      | the zone "b" is evacuated                       | not_allowed | 0.02    |
      | the engines of "b" are removed                  | not_allowed | 0.02    |
      | the engines of "b" want no request              | not_allowed | 0.02    |
      | the version of the engines of "b" is withdrawn  | not_allowed | 0.02    |
      | the engines of "b" fail for another request     | not_allowed | 0.02    |
      | it is sent to the engines of "b" meanwhile      | not_allowed | 0.02    |
      | this host is suspended for 2 s                  | late        | 0.02    |

  Scenario Outline: The host that is asked names only what the request may use
    # Guards the rules at the host that answers: an offer that breaks one costs a round trip.
    Given 6 hosts in the zones "ab" before 2 engines each, that may ask other zones
    And the engine "b1" is busy for 1.0 s
    When a host of "b" is asked with <question>
    Then it offers "<engine>"

    Examples:
      | question                     | engine  |
      | no restriction               | b0      |
      | "b0" tried                   | b1      |
      | both engines tried           | nothing |
      | only version v2 allowed      | nothing |
      | version v1 avoided           | nothing |
      | a bound of 0.1 s             | nothing |
      | "b0" unavailable             | b1      |
      | "b0" leaving                 | b1      |
      | its zone evacuated           | nothing |
      | a service that is not listed | nothing |

  Scenario: A request whose key is taken away while it waits is refused
    # Failure: sent without a look after the wait, it would run although its key is revoked.
    Given 6 hosts in the zones "ab" before 2 engines each, that may ask other zones
    And the engines of the zone "a" are busy for 3.0 s, those of "b" are idle
    When a request arrives in the zone "a" while its key is taken away
    Then it is refused as "unauthenticated"

  Scenario: A version that is withdrawn after an offer was taken gets no request
    # Failure: the version is withdrawn while the connection to the endpoint is opened.
    Given 6 hosts in the zones "ab" before 2 engines each, that may ask other zones
    And the engines of the zone "a" are busy for 3.0 s, those of "b" are idle
    When a request arrives in the zone "a" while nothing fails
    Then the question ends as "taken" after at most 0.02 s, and the request goes to "b"
    And the hosts of "b" count it as sent, and each of them was told
    And after the version of the engines of "b" is withdrawn, it may not be sent there

  Scenario: A version that is withdrawn while a connection opens gets no request
    # Failure: as above, at the forwarder.
    Given 6 hosts in the zones "ab" before 2 engines each, that may ask other zones
    And the engines of the zone "a" are busy for 3.0 s, those of "b" are idle
    When a request is forwarded, and the version of "b" is withdrawn while the connection opens
    Then it is sent to the zone "a" after 1 questions, each counted as "taken"

  Scenario: A caller that leaves while another zone is asked leaves nothing behind
    # Failure: the caller disconnects. The offer arrives for a request that is gone.
    Given 6 hosts in the zones "ab" before 2 engines each, that may ask other zones
    And the engines of the zone "a" are busy for 3.0 s, those of "b" are idle
    When a request arrives in the zone "a" and its caller leaves after 0.002 s
    Then no question is open, nothing was sent, and the late offer is dropped

  Scenario: A zone that has not answered twice is left alone for a second
    # Failure: all hosts of a zone are dead, and each question would cost its caller 0.05 s.
    Given 6 hosts in the zones "ab" before 2 engines each, that may ask other zones
    And the engines of the zone "a" are busy for 3.0 s, those of "b" are idle
    When 20 requests arrive within 0.9 s at a host of "a" while the hosts of "b" are dead
    Then 2 of them were asked for

  Scenario: A zone without hosts is sent to as it is known
    # Guards endpoints of a zone that has no host: nobody there could offer them.
    Given 6 hosts in the zones "aa" before 2 engines each, that may ask other zones
    And 2 engines in the zone "b", where no host is
    And the engines of the zone "a" are busy for 3.0 s, those of "b" are idle
    When a request arrives in the zone "a" while nothing fails
    Then no question was asked, and the request goes to "b"

  Scenario Outline: The forwarder asks before each send, also before a retry
    # Failure: an endpoint of the zone that was asked refuses connections. The retry must not go to
    # what this host believes to be idle there.
    Given 6 hosts in the zones "ab" before 2 engines each, that may ask other zones
    And the engines of the zone "a" are busy for 5.0 s, those of "b" are idle
    When a request is forwarded, and <failing> connections fail
    Then it is sent to the zone "b" after <questions> questions, each counted as "taken"

    Examples:
      | failing | questions |
      | 0       | 1         |
      | 1       | 2         |

  Scenario Outline: The wait for an offer counts towards the deadline
    # Failure: the hosts of the other zone are dead, and the caller's time ends during the wait, or
    # too little is left after it.
    Given 6 hosts in the zones "ab" before 2 engines each, that may ask other zones
    And the engines of the zone "a" are busy for 3.0 s, those of "b" are idle
    When a request with <left> s left is forwarded while the hosts of "b" are dead
    Then its caller has the status 503 within 0.051 s, and nothing was sent

    Examples:
      | left |
      | 0.04 |
      | 0.07 |

  Scenario: A caller that leaves while its request waits for an offer ends the request
    # Failure: the caller disconnects during the wait.
    Given 6 hosts in the zones "ab" before 2 engines each, that may ask other zones
    And the engines of the zone "a" are busy for 3.0 s, those of "b" are idle
    When a request is forwarded, and its caller leaves after 0.002 s
    Then no connection was opened, and no question is open

  Scenario: A larger model is asked for in the same way
    # Load: the larger model takes longest. Sent on what is known of another zone, the request would
    # meet those of all other hosts there.
    Given 6 hosts in the zones "ab" before 2 engines each, that may ask other zones
    And the engines have a small model, and a large one for doubtful answers
    And the engines of the zone "a" are busy for 1.0 s, those of "b" are idle
    When a request is forwarded whose first answer is doubtful
    Then it is sent twice, each time to another engine of "b" that was offered

  Scenario: A host asks the same host of a zone while that one answers
    # Guards against answers that come too late because each question goes to another host, to which
    # a connection has to be set up first, and against a fleet that asks one host.
    Given 20 hosts that choose whom to ask among 25 hosts of a zone
    Then each asks the same one again, and no host is asked by more than 5
    And after a late answer each asks another one
    And when that one is lost, each asks one that is alive
