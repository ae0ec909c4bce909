Feature: Versions that turn bad late in a roll-out, or after its completion

  Scenario Outline: A version that turns bad after its completion gets no more requests
    # Guards against a completed version that goes on getting requests whatever it answers.
    Given <hosts> hosts before a version that fails <fraction> of its requests from 34 s on
    When a roll-out of 24 s is carried out amid <rate> requests a second, which go on for 30 s
    Then it is first recorded as "completed", then as "rolled_back"
    And no request reaches the new version over 5.0 s after its failure number 50

    Examples:
      | hosts | rate | fraction |
      | 6     | 21   | 0.4      |
      | 6     | 21   | 0.3      |
      | 66    | 24   | 0.4      |

  Scenario Outline: A completed version stays in use although an endpoint of it fails
    # Guards against a service that refuses everything because of one faulty endpoint.
    Given <hosts> hosts before a good version, one of whose endpoints fails <fraction> of its requests from 34 s on
    When a roll-out of 24 s is carried out amid 21 requests a second, which go on for 30 s
    Then it is recorded as "completed"

    Examples:
      | hosts | fraction |
      | 6     | 0.5      |
      | 6     | 1.0      |

  Scenario Outline: Faulty endpoints are told from a bad version by how often each of them fails
    # Guards against a good version that is refused since its sound endpoints fail now and then beside faulty ones.
    Given a completed version with endpoints that fail <failures> of each 10 answers
    When each of them has given 60 more answers
    Then the verdict on the completed version is "<verdict>"

    Examples:
      | failures    | verdict     |
      | 4,4,4,4,4,4 | rolled_back |
      | 3,5,4,3,5,4 | rolled_back |
      | 5,5,1,1,1,1 | nothing     |
      | 9,9,9,1,1,1 | nothing     |
      | 8           | rolled_back |

  Scenario: Good versions are not taken for bad ones in hundreds of roll-outs
    # Guards against false alarms of a test that is repeated with every answer.
    Then of 400 versions that fail 0.02 of 300 answers, at most 1 is taken for one that has turned bad
    And of 400 completed versions that fail 0.1 of 1000 answers, none is rolled back

  Scenario: A version that turns bad after many good answers is rolled back by its newest ones
    # Guards against evidence summed since the order, in which good answers of the past outweigh bad ones of now.
    Given a roll-out of 30 s whose version has given 190 good answers
    When 5 of its next 8 answers fail
    Then its verdict is "rolled_back"

  Scenario Outline: A version gets all sessions only shortly before its completion
    # Guards against a version that turns bad while nothing of its exposure is left.
    Given a proven version in a roll-out of <seconds> s
    Then it gets all sessions for at most <most> s before the end of the time
    And all of them at least <least> s before its completion is due

    Examples:
      | seconds | most | least |
      | 8       | 2.4  | 0.8   |
      | 16      | 4.0  | 1.8   |
      | 24      | 4.0  | 1.8   |
      | 30      | 4.0  | 1.8   |

  Scenario: A rollback after the completion reaches a host that was cut off meanwhile
    # Guards against a host that takes the completion for the end of the roll-out for good.
    Given a host that was cut off after a completion, and one that knows of the later rollback
    When they meet again after 600.0 s
    Then both send nothing to the version, and a late record of "completed" changes nothing

  Scenario: A stream is not resumed on a version that was rolled back
    # Guards against requests that reach a bad version long after its rollback because they began on it.
    Given a stream that began on the new version before its rollback was recorded
    When the stream breaks after its first event
    Then its next send goes to the old version
