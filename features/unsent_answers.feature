Feature: Answers that a caller reads slowly are sent to their end

  @each.installation
  Scenario: A host that is stopped as planned first sends what a slow caller has not read
    # Guards against an answer that is cut because its host ends before its bytes have left it.
    Given a caller that reads an answer of 8000000 bytes slowly
    When the host is stopped as planned, and its caller goes on reading
    Then the caller has the whole answer
    And the host ends with code 0

  @each.installation
  Scenario Outline: A caller that reads nothing for <pause> s gets the rest of <size> bytes afterwards
    # Guards against a living caller that loses its answer because it pauses.
    Given a caller that reads an answer of <size> bytes slowly
    When it reads nothing for <pause> s, and then the rest
    Then the caller has the whole answer

    Examples:
      | pause | size    |
      | 3     | 8000000 |
      | 3     | 320000  |
      | 6     | 8000000 |

  Scenario: An endpoint that begins to read a long body after 3 s gets all of it
    # Guards against a request that is cut off because its endpoint reads it late.
    Given an endpoint that reads nothing for 3 s
    When a body of 4000000 bytes is sent to it
    Then it has received the whole body, and its answer is read

  Scenario: A peer that takes nothing from a helper for 3 s gets the rest afterwards
    # Guards against a relayed answer that is cut off because its caller pauses.
    Given a helper that has opened a connection for a peer
    When the endpoint sends an answer of 16000000 bytes, and the peer reads nothing for 3 s
    Then the peer gets a whole answer of 16000000 bytes

  Scenario Outline: A peer that <does> is <state>
    # Guards against a dead peer that is taken for one that only reads nothing.
    Given a connection with <queued> bytes queued, <packets> packets in flight and <probes> unanswered probes
    Then its peer counts as <state>

    Examples:
      | does                          | queued | packets | probes | state       |
      | has taken everything          | 0      | 0       | 0      | not stalled |
      | has acknowledged nothing      | 9000   | 2       | 0      | not stalled |
      | keeps its window closed       | 9000   | 0       | 0      | stalled     |
      | has still to answer one probe | 9000   | 0       | 1      | stalled     |
      | answers no probe              | 9000   | 0       | 2      | not stalled |

  Scenario Outline: What the kernel tells of a connection is read only if <what>
    # Guards against a connection without known state that counts as one whose peer reads nothing.
    Given <size> bytes of information on a connection in the state <state>
    Then its send state is <known>

    Examples:
      | what                       | size | state | known   |
      | it is established          | 104  | 1     | known   |
      | its peer has closed a side | 104  | 8     | known   |
      | it has a state             | 104  | 0     | unknown |
      | it is open                 | 104  | 7     | unknown |
      | enough is told             | 16   | 1     | unknown |
      | anything is told           | 0    | 0     | unknown |
