Feature: Each request is billed once, out of the log alone

  Scenario: Repeats are dropped and a final bill replaces an open one
    # The serving host and two peers that took it for dead all append the bill,
    # one of them only the entry of the running request.
    Given the log holds bills "r1 0.10 open, r1 0.30, r1 0.30, r2 0.50, r1 0.10 open"
    Then the statement has 2 bills and 0.8 in all

  Scenario: A statement names only its account and time
    Given the log holds bills "r1 0.10, r2 0.20"
    And the log holds bills of another account
    And the log holds bills of long ago
    Then the statement has 2 bills and 0.3 in all

  Scenario: The order of the records doesn't show
    # Sums of fractions depend on their order; two hosts would else print
    # statements that differ in the last digit.
    Given 200 random bills in two logs, in different orders, with seed 3
    Then both logs give the same statement

  Scenario: The log is out for an hour
    # No bill is lost: they wait at the host and at two peers, and are appended
    # when the log is back. Memory grows by three entries a bill and no more.
    Given three hosts bill 2 requests a second while the log is out for 1 hour
    When the log answers again
    Then the log holds 7200 bills, each once
    And no host holds a bill after 10 s

  Scenario: Bills at the bound
    # At the bound a host takes no new request, and a peer no more copies.
    Given a host that holds as many bills as it may
    Then it is full
    And it keeps no copies for others

  Scenario Outline: Retention drops bills that a snapshot covers
    # Bills of three days stand in one stream, some of them twice and some first as
    # running entries. The owner wrote snapshots between them. The log then drops
    # its oldest records; the statement must not change, and a repeat of a bill
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
    # Each takes itself for the owner, as in a cut. Their parts interleave, with
    # bills between them. Either snapshot is right wherever it stands, since it
    # tells the state at an offset that it names.
    Given two hosts that write snapshots of a busy stream at once
    When the log drops all records that the snapshots cover
    Then the statement is as it was before

  Scenario Outline: A writer of a snapshot dies between its parts
    # An unfinished snapshot counts nowhere: the one before it does. Without one
    # the statement says what is missing, rather than a sum that looks whole.
    Given a snapshot in parts of which the last is missing, <before> it
    When the log drops the records before it
    Then the statement <says>

    Examples:
      | before                   | says                     |
      | with a whole one before  | is as it was before      |
      | with none before         | names the missing offset |

  Scenario: A bill that comes too late to be recognised is shown apart
    # A host was cut off from the log for a day while others went on. Whether its
    # bill was finished by a peer meanwhile, no reader can tell any more.
    Given a bill that reaches the log a day after it was made
    Then the statement has 5000 bills and 500 in all
    And it shows 1 late bill apart

  Scenario: A bill is finished by one peer after the other
    # The log takes each append, but its answer is lost, and then the host that
    # made it dies. The next peer appends the bill again. Were it to take the
    # stream of the peer that told it, two streams would bill it once each.
    Given a host and the peers that finish its bill die one after the other
    Then all copies of the bill stand in one stream

  Scenario: A request is refused as not run, and its host is cut off from its peers
    # The peers were told that it had begun. They take the host for dead and bill
    # its prompt in its place; the host, which still reaches the log, must outweigh
    # that, or the caller pays for what it was told had not run.
    Given a host whose peers know of a request that it then refuses as not run
    When the host is cut off from them, and they finish its bills
    Then the statement's total is 0.0
