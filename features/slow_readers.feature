Feature: Callers and endpoints that read slowly take bounded memory, and nobody else's time

  Scenario: A stream is taken from its endpoint although its caller reads nothing
    # Guards against endpoints that cut off an answer which stays unread because of its caller.
    Given a server with a room of 24000 KB, whose system keeps little for callers
    When a caller that reads nothing is sent a stream of 900 KB
    Then all of it is written at once, and counted as unsent by caller and in total
    And the caller that goes on reading gets it in order, and nothing is counted any more

  Scenario: Streams of many callers that read nothing keep to their part of the room
    # Guards against streams of which each is within its limit, and all of them are not.
    Given a server with a room of 4000 KB, whose system keeps little for callers
    When 30 callers that read nothing are sent streams of 900 KB
    Then at most 2200 KB are kept for them, and some streams wait
    And a caller that reads gets 900 KB within 2 s
    And all callers that go on reading get their streams in order

  Scenario: The largest answer that nobody reads is ended when another one needs the room
    # Guards against answers of callers that read nothing which break those of others.
    Given a server with a room of 8000 KB, whose system keeps little for callers
    When callers that read nothing are sent whole answers of 1000, 4000 and 2000 KB
    And an answer of 2400 KB is read from an endpoint after 0.6 s
    Then it has room, and only the answer of 4000 KB is ended

  Scenario: An answer whose caller goes on reading is not ended for another one
    # Guards against callers with slow links that lose an answer which they are reading.
    Given a server with a room of 8000 KB, whose system keeps little for callers
    When a caller that reads 100 KB each 0.1 s is sent a whole answer of 4000 KB
    And an answer of 2400 KB is read from an endpoint after 0.6 s
    Then it has no room, and no answer is ended

  Scenario Outline: A new caller takes the place of <what>
    # Guards against sockets that callers which read nothing take beyond those of the settings.
    Given a server with a room of 24000 KB, whose system keeps little for callers
    When callers that read nothing are sent whole answers of 1000, 4000 and 2000 KB
    And <idle> more callers are idle, no further one may connect, and one does after 0.6 s
    Then <ended> answers have ended, and as many connections as before are left

    Examples:
      | what                              | idle | ended |
      | an idle one                       | 1    | 0     |
      | the oldest answer that is not read | 0    | 1     |

  Scenario: A caller that sends requests and reads no answers has one answer kept
    # Guards against a caller that lets the host pile up its answers.
    Given a server with a room of 24000 KB, whose system keeps little for callers
    When a caller sends 5 requests at once, and reads nothing of the answers of 1000 KB
    Then one answer is kept for it
    And it gets 5 answers once it reads

  Scenario: A caller that takes a few bytes at a time loses its answer when the time for it is over
    # Guards against a connection and its memory that are held for hours.
    Given a server with a room of 24000 KB, whose system keeps little for callers
    And 0.5 s for the rest of an answer
    When a caller that reads 1 KB each 0.1 s is sent a whole answer of 4000 KB
    Then its connection is ended within 2 s, and nothing is counted any more

  Scenario: A request that its endpoint reads slowly is not copied, and holds up nobody
    # Guards against a large body that is kept twice, or whose sending blocks the event loop.
    Given an endpoint that reads nothing for 2 s
    When a body of 16000000 bytes is sent to it, and the memory of the process is measured
    Then the process has taken less than 4 MB for it, and other work has had its turn
    And it has received the whole body, and its answer is read

  Scenario: The time in which a caller did not read is not the endpoint's
    # Guards against versions that are judged slow, or bad, because of their callers.
    Given an attempt whose events come each 0.1 s
    When its answer is not read for 5 s after 10 events, and 10 more follow
    Then its interval between events is 0.1 s, and its longest pause is 0.1 s
    And a break 0.5 s later is no failure of its endpoint, but one 3 s later is

  @each.installation
  Scenario: A stream whose caller has not read it by its deadline is ended, and its place is free
    # Guards against places that callers hold as long as they like, and endpoints blamed for them.
    Given the endpoint answers 4 drafts with 4000 events of 4 KB without pauses
    When 4 callers request drafts within 6000 ms and read nothing
    Then each stream is ended, the endpoint is told, and no send has failed
    And the host counts 4 ended slow callers and keeps no bytes
    And a lookup and a draft are answered with 200

  @each.installation
  Scenario: A stream that is cut off because its caller did not read goes on when it reads
    # Guards against an endpoint that is blamed for its caller, and further ones that cut off too.
    Given a second endpoint "engine-2" of "engines"
    And the endpoints cut off a draft of 4000 events of 4 KB that is unread for 1.5 s
    When a caller requests a draft, reads nothing for 5 s, and then all
    Then it has the events 1 to 4000
    And the log tells that an answer was cut off unread

  @each.installation
  Scenario: Callers that don't read large answers don't take the host's memory, nor break others'
    # Guards against whole answers that wait for their callers beyond the memory of the host.
    When 60 callers in turn request a lookup with an answer of 6000000 bytes, and read nothing
    Then each gets the head of an answer
    And a caller that reads gets the whole answer
    And no host has taken more than its memory

  @each.installation
  Scenario: Endpoints that don't read large requests don't take the host's memory
    # Guards against bodies that wait for their endpoints beyond the memory of the host.
    Given requests of 4000000 bytes are allowed, and the endpoint "stock-1" reads none of them
    When 40 callers each send a lookup with a body of 4000000 bytes
    Then a draft is answered while they wait, and the host counts at most 30200000 bytes of bodies
    And each caller is refused, and no host has taken more than its memory
