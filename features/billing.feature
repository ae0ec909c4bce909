Feature: Each request is billed once, from the log alone

  Scenario: Repeats are dropped and a final bill replaces an open one
    # The serving host and two peers that considered it dead all append the bill, one of
    # them only the entry of the running request.
    Given the log holds bills "r1 0.10 open, r1 0.30, r1 0.30, r2 0.50, r1 0.10 open"
    Then the statement has 2 bills and 0.8 in all

  Scenario: A statement names only its account and time
    Given the log holds bills "r1 0.10, r2 0.20"
    And the log holds bills of another account
    And the log holds bills of long ago
    Then the statement has 2 bills and 0.3 in all

  Scenario: The order of the records doesn't change a statement
    # The sum of floating-point amounts depends on their order, so two hosts could print
    # statements that differ in the last digit.
    Given 200 random bills in two logs, in different orders, with seed 3
    Then both logs give the same statement

  Scenario: The log is unavailable for an hour
    # No bill must be lost: bills wait at their host and at two peers, and are appended
    # when the log is available again. Memory grows by three entries for each bill and
    # no more.
    Given three hosts bill 2 requests a second while the log is unavailable for 1 hour
    When the log is available again
    Then the log holds 7200 bills, each once
    And no host holds a bill after 10 s

  Scenario: The bound on bills in memory
    # At the bound a host must admit no new request, and a peer must accept no more
    # copies.
    Given a host that holds as many bills as allowed
    Then it is full
    And it accepts no copies from peers

  Scenario Outline: Retention drops bills that a snapshot covers
    # Bills of three days are in one stream, some of them twice and some first as
    # entries of running requests. The owner wrote snapshots in between. The log then
    # drops its oldest records. The statement must not change, and a repeat of a bill
    # that is gone from the log must not count again.
    Given <count> bills over 3 days with repeats in one stream, and snapshots between, with seed <seed>
    When the log drops all records that the snapshots cover
    Then the statement is as it was before
    And bills that are appended again change nothing

    Examples:
      | count | seed |
      | 300   | 1    |
      | 300   | 2    |
      | 3000  | 3    |

  Scenario: Two owners write snapshots of one stream at once
    # Each host considers itself the owner, as during a network partition. The parts of
    # their snapshots are interleaved, with bills between them. Either snapshot is valid
    # wherever it is, since it names the offset of its state.
    Given two hosts that write snapshots of a busy stream at once
    When the log drops all records that the snapshots cover
    Then the statement is as it was before

  Scenario Outline: The writer of a snapshot dies between its parts
    # An incomplete snapshot must have no effect: the one before it counts. Without one
    # the statement must tell what is missing, instead of giving a total that seems
    # complete.
    Given a snapshot in parts of which the last is missing, <before> it
    When the log drops the records before it
    Then the statement <says>

    Examples:
      | before                     | says                     |
      | with a complete one before | is as it was before      |
      | with none before           | names the missing offset |

  Scenario: A bill that comes too late to be recognized is listed separately
    # A host was cut off from the log for a day while others went on. No reader can tell
    # any more whether a peer appended its bill meanwhile.
    Given a bill that reaches the log a day after its request
    Then the statement has 5000 bills and 500 in all
    And it lists 1 late bill separately

  Scenario: A bill is taken over by one peer after another
    # The log stores each append, but its answer is lost, and then the host that made it
    # dies. The next peer appends the bill again. If it used the stream of the peer that
    # sent it the bill, the request would be billed in two streams.
    Given a host and the peers that take its bill over die one after another
    Then all copies of the bill are in one stream

  Scenario: A request is refused as not run, and its host is isolated from its peers
    # The peers know that the request began. They consider the host dead and bill the
    # prompt in its place. The host, which can still reach the log, must override that,
    # or the caller pays for what it was told had not run.
    Given a host whose peers know of a request that it then refuses as not run
    When the host is isolated from them, and they take its bills over
    Then the statement's total is 0.0
