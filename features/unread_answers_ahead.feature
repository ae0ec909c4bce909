@alone
Feature: Callers that send ahead and read nothing take bounded memory and sockets, and nobody's place

  @small.installation
  Scenario Outline: Callers that send <what> ahead at the <address> address, and read nothing, don't exhaust the host
    # Guards against a host that ends because it keeps requests, or answers, for callers that read nothing.
    When 80 callers send 2000 KB of <what> each to the <address> address, and read nothing
    Then the host lives, has taken less than 80 MB, and has at most 300 descriptors open
    And an ordinary lookup beside them, and one after them, is answered with 200

    Examples:
      | what                                | address   |
      | readiness checks                    | readiness |
      | scrapes                             | metrics   |
      | head requests                       | readiness |
      | bodies without end                  | readiness |
      | requests without headers            | callers   |
      | readiness checks                    | callers   |
      | requests without a route            | callers   |
      | requests to an unknown name         | callers   |
      | lookups                             | callers   |
      | head requests                       | callers   |
      | chunks with extensions              | callers   |
      | expectations                        | callers   |
      | upgrades                            | callers   |
      | bodies without end                  | callers   |

  @small.installation
  Scenario Outline: Callers that connect to the <address> address and end no request leave sockets for others
    # Guards against an address whose connections nobody counts.
    When 400 callers connect to the <address> address and send half a request
    Then the host lives, has taken less than 80 MB, and has at most 300 descriptors open
    And a readiness check beside them is answered with 200
    And an ordinary lookup beside them, and one after them, is answered with 200

    Examples:
      | address   |
      | readiness |
      | metrics   |
      | callers   |

  @small.installation
  Scenario Outline: Callers that send ahead to the <address> address and read nothing don't hold up a host's end
    # Guards against a host that is killed by the platform because it waits for callers that read nothing.
    When 80 callers send 2000 KB of <what> each to the <address> address, and read nothing
    And the host receives SIGTERM beside the crowd
    Then the process has ended by itself with code 0

    Examples:
      | what                     | address   |
      | readiness checks         | readiness |
      | requests without a route | callers   |
      | lookups                  | callers   |

  @fixture.few_threads
  Scenario Outline: Callers that send <what> ahead to a host's own interface, and read nothing, leave threads for others
    # Guards against threads that all wait until such callers have read their answers.
    When 40 callers send <what> to the own interface without end, read nothing, and come back when they are closed
    Then an ordinary call beside them is answered with 200

    Examples:
      | what                     |
      | readiness checks         |
      | requests without a route |
      | scrapes                  |

  Scenario: Callers that send ahead and read nothing hold no thread of the own interface
    # Guards against threads that wait until such callers take more, one after the other for 10 s.
    Given an HTTP server of the own interface with 2 threads, whose system keeps little for callers
    When 4 callers send 400 requests ahead and read nothing
    Then an ordinary call to that server is answered with 200
