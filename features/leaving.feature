Feature: Endpoints that say in their answers that they are leaving

  @fixture.host_pair
  Scenario: No host sends to an endpoint after one of them has passed on that it leaves
    # Guards against hosts that go by the list alone, which says so later or never.
    Given another endpoint "stock-2" of "stock" serves as well
    When "stock-1" says in its answers that it leaves, and callers at both hosts send 30 lookups
    Then from 1 s after its first such answer "stock-1" gets no request
    And all lookups were answered

  @fixture.cuttable_hosts
  Scenario: A helper knows that an endpoint leaves, whose answer it relayed
    # Guards against helpers that send to an endpoint whose answers they have just passed on.
    Given callers of all kinds were served by each host
    When host 0 is cut off from all endpoints
    And "stock-1" says in its answers that it leaves, and callers at host 0 send 10 lookups
    Then from 1 s after its first such answer "stock-1" gets no request

  @fixture.zone_trio
  Scenario: A host reads its list anew once an answer shows that it is old
    # Guards against a second send by the list whose first endpoint has just proven it old.
    Given all hosts list another endpoint "stock-1" of "stock"
    And callers at the host that is the last to read for its zone were served
    When its peers are suspended
    And the one that served last is replaced at its address, the other one says that it leaves, and "stock-2" starts
    And callers at that host send 4 lookups
    Then none of those that were answered 421 came to the leaving endpoint later
    And all lookups were answered

  Scenario Outline: <hosts> hosts know soon that an endpoint leaves, and keep to it
    # Guards against a host that starts with an older list, and records that say less than answers.
    Given <hosts> hosts in the zones "<zones>" that know each other
    When one host gets an answer in which "v1-0" says that it leaves
    Then within 3.0 s none of them may send to "v1-0"
    When a host is killed and started again, with a list on which "v1-0" is ready
    Then within 3.0 s none of them may send to "v1-0"
    When the record of "v1-0" lapses and returns
    Then none of them may send to "v1-0"
    When "v1-0" starts again
    Then all of them may send to "v1-0"

    Examples:
      | hosts | zones   |
      | 6     | abc     |
      | 79    | abc     |
      | 390   | abcdefg |

  Scenario Outline: Which answers say that an endpoint leaves
    Then an answer of status <status> with "<value>" <says> that it leaves

    Examples:
      | status | value | says         |
      | 200    | 1     | says         |
      | 503    | 1     | says         |
      | 200    | 0     | does not say |
      | 200    | yes   | does not say |
      | 200    |       | does not say |

  Scenario: Hosts don't remind each other for ever of an endpoint that is gone
    Given 6 hosts in the zones "abc" that know each other
    When one host gets an answer in which "v1-9" says that it leaves
    And 80 s pass in the fleet
    Then no host remembers a leaving endpoint

  Scenario Outline: A request that waited for a connection isn't sent to an endpoint that <change>
    # Guards against sends by the state of an endpoint that the list had when it was chosen.
    Given a request that waits for a connection to the endpoint that was chosen for it
    When the chosen endpoint <change>
    Then that endpoint does not get the request

    Examples:
      | change                       |
      | says in its record so        |
      | is removed from the list     |
      | is removed and starts again  |
      | starts again under its id    |

  Scenario: A helper relays nothing to an endpoint whose record says that it leaves
    # Guards against a host with an old list that reaches the endpoint through one that knows better.
    Given a helper that relays "request-1" to an endpoint
    When the record of the endpoint says that it leaves
    Then the helper keeps away from it
