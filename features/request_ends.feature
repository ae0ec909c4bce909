Feature: Decisions on requests under which endpoints end

  Scenario Outline: How many ends count under a request: <attempts>
    # Guards against a sound request that is blamed for endpoints of a zone that end together.
    Given attempts of a request from and until these seconds, at the end of an endpoint each: <attempts>
    Then <count> ends count, and the request is <taken>

    Examples:
      | attempts                               | count | taken    |
      | 0.0-0.1, 0.15-0.2, 0.25-0.3            | 3     | refused  |
      | 0.0-0.001, 0.002-0.003, 0.004-0.005    | 3     | refused  |
      | 0.0-0.2, 0.01-0.21, 0.1-0.25, 0.15-0.3 | 1     | admitted |
      | 0.0-0.1, 0.0-0.5, 0.0-0.9              | 3     | refused  |
      | 0.0-0.1, 0.0-0.1, 0.2-0.3, 0.2-0.3     | 2     | admitted |
      | 0.0-0.1, 0.2-0.3, 899.0-899.2          | 3     | refused  |
      | 0.0-0.1, 0.2-0.3, 901.0-901.2          | 1     | admitted |

  Scenario Outline: A request that was answered <answered> s before is <taken> after ends <apart> s apart
    # Guards against a request in demand whose second sends follow an outage from endpoint to endpoint.
    Given a request that was answered whole <answered> s before at the first host
    When three endpoints end under it <apart> s apart, one after the other
    Then the first host has it <taken>, and the second one <taken>

    Examples:
      | answered | apart | taken    |
      | 1        | 0.002 | admitted |
      | 59       | 0.002 | admitted |
      | 61       | 0.002 | refused  |
      | 1        | 0.4   | refused  |

  Scenario Outline: What lets a refused request through: <event>
    # Guards against a request that stays refused though endpoints bear it, or goes on though they don't.
    Given a request that is refused at two hosts since three endpoints ended under it
    When <event>
    Then the first host has it <first>, and the second one <second>

    Examples:
      | event                                                   | first    | second   |
      | an attempt is answered whole at the first host          | admitted | admitted |
      | an attempt ends with an endpoint's error                | admitted | admitted |
      | an attempt has only begun to be answered                | refused  | refused  |
      | an attempt was answered whole 70 s before the first end | refused  | refused  |
      | 890 s are over                                          | refused  | refused  |
      | 910 s are over                                          | admitted | admitted |
      | 890 s are over, and one more endpoint ends under it     | refused  | refused  |

  Scenario Outline: What counts as an end under a request: <attempt>
    # Guards against ends that nobody counts, and against those of endpoints that had not the request.
    Given a host with an attempt that <attempt>
    When its endpoint is found to have ended
    Then <count> ends count under the request

    Examples:
      | attempt                                 | count |
      | broke before it began to be answered    | 1     |
      | broke after it had begun to be answered | 1     |
      | is still open                           | 1     |
      | was given up, since it took too long    | 1     |
      | was given up, since it answered garbage | 1     |
      | was given up, since its caller left     | 1     |
      | was given up for a larger model         | 1     |
      | was given up 6 s before                 | 0     |
      | was rejected                            | 0     |
      | was answered whole                      | 0     |
      | was answered with an error              | 0     |
      | broke at an endpoint that is leaving    | 0     |

  Scenario Outline: Whether a refused connection shows an end: its endpoint had an attempt that <attempt>
    # Guards against ends of endpoints at which no connection breaks, and against planned ones that count.
    Given a host with an attempt that <attempt>
    When a connection to its endpoint is refused
    Then <count> endpoints count as crashed

    Examples:
      | attempt                             | count |
      | was given up, since its caller left | 1     |
      | was given up 6 s before             | 0     |
      | was answered whole                  | 0     |
      | was given up at one that is leaving | 0     |

  Scenario Outline: What makes two attempts the same request: <change>
    # Guards against repeats that pass for other requests, and against others that are taken for repeats.
    Given a request that is refused since three endpoints ended under it
    Then an attempt with <change> is <taken>

    Examples:
      | change                     | taken               |
      | another id                 | refused as a repeat |
      | another key of its account | refused as a repeat |
      | less time left             | refused as a repeat |
      | a later event to resume    | refused as a repeat |
      | another session            | refused as a repeat |
      | another account            | admitted            |
      | another path               | admitted            |
      | another method             | admitted            |
      | another body               | admitted            |
      | another last part          | admitted            |
      | another model              | admitted            |

  Scenario Outline: No way of sending passes by: a request <way>
    Given a request that is refused since three endpoints ended under it, and an attempt of it <way>
    Then that attempt is refused as <kind>

    Examples:
      | way                               | kind                |
      | arrives                           | request_quarantined |
      | waited for a connection meanwhile | request_quarantined |
      | was rejected by an endpoint       | request_quarantined |
      | may have run                      | endpoint_failed     |
      | is a stream that is resumed       | endpoint_failed     |
      | is to be asked of a larger model  | endpoint_failed     |

  Scenario: A copy that another host is asked for is the same request there
    # Guards against copies that go on to endpoints, and end them uncounted, at hosts that only copy.
    Given a request that is refused since three endpoints ended under it
    Then a copy of it that another host is asked for has the same fingerprint

  Scenario: A refused request gets no time to come back
    Then the answer to a refused request is 503, not run, without a time to come back

  Scenario: Ever new requests fill no table, and no digest
    # Guards against memory and links that callers fill with requests.
    Given 6000 requests under which an endpoint ended, 4 of them with three ends
    Then at most 4096 are remembered, and the 4 are refused
    And a digest tells of at most 64, in at most 3000 bytes, the 4 among them

  Scenario: A host learns in turn of more refused requests than a digest takes
    # Guards against hosts that start and never learn of some requests.
    Given 200 requests that are refused since three endpoints ended under each
    When another host gets 4 digests, 10 s later
    Then it refuses all 200 too

  Scenario: Ends that can't be are ignored
    When a digest tells of ends with ages of -1 and 2**63 ms, and of an answer of -1 ms
    Then no request is remembered
