Feature: The command line

  Scenario Outline: Each subcommand has a help text
    When the command line runs "<command> --help"
    Then the command exits with 0
    And the command's output says "<text>"

    Examples:
      | command        | text                                |
      |                | Exit codes                          |
      | serve          | --settings                          |
      | config         | publish                             |
      | config check   | The operators' document             |
      | config publish | Wait until it is in force           |
      | config show    | Show this publication               |
      | config history | ip:port of the platform's log       |
      | config diff    | Offset of the older publication     |
      | status         | Refresh every second                |
      | explain        | The X-Request-Id of its response    |
      | ask            | API key of the client account       |
      | bill           | in UTC unless it has an offset      |

  Scenario Outline: Invalid input is reported by its field, without a traceback
    # The operator mistypes an argument or names a host that is gone. Arguments must be
    # validated before anything is sent, and a host that doesn't respond must be reported in
    # one line, not by a traceback.
    When the command line runs "<command>"
    Then the command exits with <code>
    And the command's error says "<text>"

    Examples:
      | command                                            | code | text               |
      | config check no-such-file.yaml                     | 2    | can't be read      |
      | bill --account a --since x --log 127.0.0.1:1       | 2    | a date such as     |
      | status --hosts 10.0.0.1                            | 2    | an ip:port such as |
      | status --hosts 127.0.0.1:99999                     | 2    | found '127.0.0.1:9 |
      | status --hosts 127.0.0.1:1                         | 1    | no host answered   |
      | config show --log 127.0.0.1:1                      | 1    | the log did not    |
      | config publish examples/thistledown.yaml --log 127.0.0.1:1 --wait | 2 | --wait needs |
      | ask note hello --host 127.0.0.1:1 --key k          | 1    | no answer          |
      | serve --settings no-such-file.yaml                 | 2    | no-such-file.yaml  |

  Scenario: An invalid document exits with 2 and lists every problem
    Given a document file "bad.yaml" with
      """
      classes:
        note: {importance: 12, targets: {quality: 1.5, first_token_ms: 100, between_tokens_ms: 50, whole_s: 9}}
      accounts:
        shop: {keys: ["plain-text"], hosts: [a1]}
      """
    When the command line checks "bad.yaml"
    Then the command exits with 2
    And the command's error says "4 problems"

  Scenario: Error messages quote a document verbatim
    # The terminal library interprets "[/bold]" as markup: a name with brackets ended in a
    # traceback, or was missing from the message.
    Given a document file "brackets.yaml" with
      """
      classes: {"[/bold]": 3}
      """
    When the command line checks "brackets.yaml"
    Then the command exits with 2
    And the command's error says "classes.[/bold]: found '[/bold]'"

  Scenario: An answer that breaks off is reported in one line
    # The host dies during the answer. The operator must see which host and which request
    # were affected, and exit code 1.
    Given a host that breaks off each answer
    When the command line asks it for a "note"
    Then the command exits with 1
    And the command's error says "broke off"
    And the command's error says "request req-1"

  Scenario: All errors in the settings are reported at once
    # An unknown key may be a misspelt limit that would silently not apply, so the host must
    # not start with it.
    Given a settings file with
      """
      name: a1
      zone: ""
      listen: somewhere
      thread: 5
      platform: {log: 127.0.0.1:1, host_list: 127.0.0.1:2, brokers: []}
      """
    When the host is started with it
    Then the command exits with 2
    And the command's error says "zone"
    And the command's error says "listen"
    And the command's error says "thread: Extra inputs"
    And the command's error says "platform.brokers: Extra inputs"

  @fixture.small_fleet
  Scenario: Publishing waits for every zone and reports hosts that don't respond
    # The only host of a zone is killed. The operator must be told that nobody responds for
    # the zone, instead of waiting forever.
    When the Thistledown document is published with wait at all hosts
    Then the command exits with 0
    And the command's output says "zone c: in force after"
    When the status of all hosts is read as JSON
    Then the JSON status has 3 zones at one offset
    When host "c1" of the fleet is killed
    And the status of all hosts is read
    Then the command exits with 4
    And the command's output says "silent"
    When the other hosts have detected it, and the status is read
    Then the command exits with 4
    And the command's output says "HOST NOT ALIVE ZONE SEEN AS c1 c silent"
    When the history is read as JSON
    Then the command's output says ""verdict": "accepted""

  @fixture.small_fleet
  Scenario: Two operators edit the same document
    # Both edit the same version of the document, and the slower one publishes based on its
    # offset. The command must print the difference and what to do next, and the slower
    # operator's document must not take effect.
    When the Thistledown document is published with wait at all hosts
    And "ada" publishes the Anellidoro document based on 0
    Then the command exits with 0
    When "bob" publishes the Thistledown document based on 0
    Then the command exits with 3
    And the command's error says "+++ accepted at offset 1"
    And the command's error says "publish with --based-on 1"
    When the accepted document is shown
    Then the command's output says "verona-shop"
    And the command's error says "--based-on 1"

  @fixture.small_fleet
  Scenario: A request is sent and its routing explained
    When the Thistledown document is published with wait at all hosts
    And the command line asks host "a1" for a "note"
    Then the command exits with 0
    And the request is explained as "answered"
    When the command line asks host "a1" for a "note" as JSON
    Then the JSON answer has a request id, a version and a text
    When the bill of "borough-north" is read as JSON
    Then the JSON bill has its account, lines and total
    When the command line asks host "a1" for a "no-such-class"
    Then the command exits with 1
    And the command's error says "refused: class_unknown"
