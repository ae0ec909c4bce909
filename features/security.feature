Feature: Hostile callers and senders are refused and counted, and have no effect

  Scenario: Only messages of hosts with a certificate of the authority are received
    # A sender with a foreign certificate, and one without TLS, reach the port. The handshake
    # must fail, and no message may reach the host's event loop.
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

  Scenario: A message above the size limit is dropped before it is decoded
    Given a host listens for peers without TLS
    When a sender sends 300000 bytes and then "small"
    Then only "small" was received

  Scenario: The platform's log is accessed over TLS
    Given a log that listens with TLS
    When a record is appended with the right authority
    Then it is appended at offset 0
    When a record is appended with a foreign authority
    Then the append is refused or unknown, and the log has no further record

  @fixture.keyed_host
  Scenario: Only an operator's key changes the configuration
    # Publications are appended without a key, then with a wrong one, then with the right
    # one. The host must count the first two as refused and apply the third.
    When an operator publishes without a key
    And operator "ada" publishes with key "not-her-key-at-all"
    Then the host refused 2 records and has no configuration in force
    When operator "ada" publishes with key "ada-signs-with-this"
    Then the host has the publication in force

  Scenario: A renewed certificate is not used before its key is renewed too
    # Renewal replaces the certificate first and the key a moment later. If the host loaded
    # the new certificate with the old key in between, every caller's handshake would fail.
    Given the callers' certificate in two files
    When only the certificate's file is replaced, and both are loaded again
    Then callers still get the first certificate

  @fixture.tls_host
  Scenario: Callers speak TLS, and the certificate is renewed without a restart
    When the readiness is queried over TLS
    Then the response comes with the first certificate
    When the callers' certificate files are replaced
    Then soon responses come with the renewed certificate

  @fixture.tls_host
  Scenario: The command line queries a host over TLS
    # With the authority's certificate it reads the status. Without it, the host can't be
    # authenticated, and nothing may be read.
    When the command line queries the host's status over TLS with the authority's file
    Then it prints the host
    When the command line queries the host's status over TLS without the authority's file
    Then it reports that the host gave no answer

  @fixture.tls_host
  Scenario: Half-open and slow callers don't block a host
    # 40 connections send half a TLS handshake or nothing, and stay open. Threads wait for
    # them up to the socket timeout; other callers must be answered meanwhile.
    When 40 connections send half a handshake or nothing and stay open
    Then 20 further requests are answered

  Scenario Outline: Decoders of untrusted bytes return a value or an error
    # The inputs are random bytes, and valid messages with random changes. A decoder must
    # return a value or its error for all of them, and never raise.
    When the decoder of "<format>" reads 1000 hostile inputs
    Then none of them raised

    Examples:
      | format                |
      | peer messages         |
      | configuration records |
      | configuration answers |
      | lease records         |
      | chat bodies           |
      | documents             |
      | zone members          |

  Scenario Outline: A record is accepted only with the signature of a host
    # Anybody with access to the log can append records. Hosts must read a forged record as
    # an empty one and count it. It keeps its offset, so that all hosts' states stay equal.
    Given a host's record in stream "billing-00", <change>, read with keys "<keys>"
    Then the record is <result> and "<counted>" is counted

    Examples:
      | change                        | keys             | result  | counted             |
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
    # The forger knows the format of every record, but no key.
    Given hosts with a log key, and a forger with access to their log
    When the forger appends a bill, an outcome, a lease and a roll-out
    Then the statement doesn't include the forged bill
    And the claim has no outcome, the lease no holder, the roll-out no grant
    And the host counted 4 refused records

  Scenario: The log key is rotated
    # One host after the other gets both keys, then the new key first, then only the new
    # one. At each step, all hosts must accept the records of every host.
    Given 3 hosts that rotate their log key one after the other
    Then every record that one of them wrote is accepted by all

  Scenario Outline: A plain service is called over TLS
    # The handshake is complete before the first byte of the call is sent. After a failed
    # handshake, the call must count as not sent.
    Given a plain service that listens with TLS
    When a call with a body of <size> bytes is prepared with the "<authority>" authority
    Then the call is <state> and the service has executed nothing
    And after it was sent it <outcome>

    Examples:
      | size   | authority | state    | outcome                    |
      | 10     | own       | ready    | was executed with its body |
      | 200000 | own       | ready    | was executed with its body |
      | 10     | foreign   | not sent | was not executed           |
      | 10     | no        | ready    | has an unknown outcome     |
