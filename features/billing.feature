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
