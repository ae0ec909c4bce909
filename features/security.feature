Feature: Hostile callers and senders get a clear refusal, a counter and no effect

  Scenario: Only hosts with a certificate of the authority are heard
    # A sender with a foreign certificate, and one without TLS, reach the port;
    # the handshake fails and the host's loop sees nothing of it.
    Given a host listens for peers with its certificate
    When a host of the same authority sends "own"
    And a host of a foreign authority sends "foreign"
    And a sender without TLS sends "plain"
    Then only "own" was received

  Scenario: A peer certificate is renewed without a restart
    Given a host listens for peers with its certificate
    When its certificate file is replaced
    And a host of the same authority sends "after"
    Then only "after" was received

  Scenario: A message above the bound is dropped before it is decoded
    Given a host listens for peers without TLS
    When a sender sends 300000 bytes and then "small"
    Then only "small" was received

  Scenario: The platform's log is reached over TLS
    Given a log that listens with TLS
    When a record is appended with the right authority
    Then it stands at offset 0
    When a record is appended with a foreign authority
    Then the append is refused or unknown, and nothing more stands in the log

  @fixture.keyed_host
  Scenario: Only an operator's key changes the configuration
    # The command line appends without a key, then with a wrong one, then with
    # the right one; the host counts the first two and takes the third.
    When an operator publishes without a key
    And operator "ada" publishes with key "not-her-key-at-all"
    Then the host refused 2 records and has nothing in force
    When operator "ada" publishes with key "ada-signs-with-this"
    Then the host has the publication in force

  Scenario: A certificate without its key yet does no harm
    # Whoever renews writes the certificate first and the key a moment later. Taken up in
    # between, the new certificate with the old key would fail every caller's handshake.
    Given the certificate that callers see, in two files
    When only the certificate's file is replaced, and both are read again
    Then callers still see the first certificate

  @fixture.tls_host
  Scenario: Callers speak TLS, and the certificate is renewed without a restart
    When the readiness is asked over TLS
    Then it is answered with the first certificate
    When the callers' certificate files are replaced
    Then soon it is answered with the renewed certificate

  @fixture.tls_host
  Scenario: An operator's command line asks a host that speaks TLS
    # With the authority's file it reads the status; without it the host can't be told
    # from an impostor, and nothing is read.
    When the command line asks the host's status over TLS with the authority's file
    Then it prints the host
    When the command line asks the host's status over TLS without the authority's file
    Then it says that the host gave no answer

  @fixture.tls_host
  Scenario: Half-open and slow callers don't hold a host
    # 40 connections send half a request, or never read: threads wait for them
    # up to the socket timeout, and the others are answered meanwhile.
    When 40 connections send half a head and stay
    Then 20 further requests are answered

  Scenario Outline: Bytes at the borders are read or refused, never more
    # Random bytes, and valid messages with random changes. Whatever comes, the
    # decoder gives a value or its refusal; it never raises, hangs or grows.
    When the decoder of "<border>" reads 1000 hostile inputs
    Then none of them raised

    Examples:
      | border                |
      | peer messages         |
      | configuration records |
      | configuration answers |
      | lease records         |
      | chat bodies           |
      | documents             |
      | zone members          |

  Scenario Outline: A record counts only with the signature of a host
    # Whoever reaches the log appends a record of his own. Hosts read it as empty
    # and count it; its offset stays, so that all folds go on alike.
    Given a host's record in stream "billing-00", <changed>, read with keys "<keys>"
    Then the record is <read> and "<counted>" is counted

    Examples:
      | changed                       | keys             | read    | counted             |
      | as it was written             | first            | read    | nothing             |
      | as it was written             | second, first    | read    | nothing             |
      | as it was written             | none             | read    | log_record_unchecked |
      | as it was written             | second           | refused | log_record_forged   |
      | with another byte at its end  | first            | refused | log_record_forged   |
      | cut to half its length        | first            | refused | log_record_forged   |
      | moved to another stream       | first            | refused | log_record_forged   |
      | without its signature         | first            | refused | log_record_unsigned |
      | without its signature         | none             | read    | nothing             |
      | without its signature         | first, unsigned  | read    | nothing             |
      | with another byte at its end  | first, unsigned  | refused | log_record_forged   |

  Scenario: Forged bills, outcomes, leases and roll-outs have no effect
    # The forger knows every format and no key.
    Given hosts with a log key, whose log a forger reaches
    When the forger appends a bill, an outcome, a lease and a roll-out
    Then the statement has nothing of it
    And the claim has no outcome, the lease no holder, the roll-out no grant
    And the host counted 4 refused records

  Scenario: The log key is rotated
    # One host after the other gets both keys, then the new one first, then the new
    # one alone. At each step all hosts read what each of them writes.
    Given 3 hosts that rotate their log key one after the other
    Then every record that one of them wrote is read by all

  Scenario Outline: A plain service is called over TLS
    # The handshake is over before the call is handed over: until then no byte of
    # the call is out, and a wrong certificate means that it was not sent.
    Given a plain service that listens with TLS
    When a call with a body of <size> bytes is prepared with the "<authority>" authority
    Then the call is <prepared> and the service has no effect
    And handed over and finished it <ends>

    Examples:
      | size   | authority | prepared | ends                  |
      | 10     | own       | ready    | ran with its own body |
      | 200000 | own       | ready    | ran with its own body |
      | 10     | foreign   | not sent | has no effect         |
      | 10     | no        | ready    | is unknown, no effect |
