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
      | status         | Show it anew every second           |
      | explain        | The X-Request-Id of its answer      |
      | ask            | API key of the client account       |
      | bill           | UTC when it names no zone           |

  Scenario Outline: Bad input is told by its field, without a trace
    # The operator mistypes an argument or names a host that is gone. The
    # argument is checked before anything is sent, and a silent host is one
    # line, not a stack.
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

  Scenario: An invalid document exits with 2 and lists every fault
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

  Scenario: What a document holds is told as it stands
    # The terminal library takes "[/bold]" for markup: a name with brackets
    # ended in a trace, or was left out of the line that names it.
    Given a document file "brackets.yaml" with
      """
      classes: {"[/bold]": 3}
      """
    When the command line checks "brackets.yaml"
    Then the command exits with 2
    And the command's error says "classes.[/bold]: found '[/bold]'"

  Scenario: An answer that breaks off is told in a line
    # The host dies while the answer runs. The operator sees which host and
    # which request, and exit code 1.
    Given a host that breaks off each answer
    When the command line asks it for a "note"
    Then the command exits with 1
    And the command's error says "broke off"
    And the command's error says "request req-1"

  Scenario: Settings errors are told all at once
    # An unknown key would be a limit that the operator believes in and that
    # nothing applies, so it stops the start.
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
  Scenario: Publishing waits for every zone and says which host is silent
    # One host is stopped. Its zone answers through nobody, so the operator
    # is told so instead of waiting for ever.
    When the Thistledown document is published with wait at all hosts
    Then the command exits with 0
    And the command's output says "zone c: in force after"
    When the status of all hosts is read as JSON
    Then the JSON status has 3 zones at one offset
    When host "c1" of the fleet is killed
    And the status of all hosts is read
    Then the command exits with 4
    And the command's output says "silent"
    When the others have noticed, and the status is read
    Then the command exits with 4
    And the command's output says "HOST NOT ALIVE ZONE SEEN AS c1 c silent"
    When the history is read as JSON
    Then the command's output says ""verdict": "accepted""

  @fixture.small_fleet
  Scenario: Two operators edit the same document
    # Both show the document and edit it; the slower one publishes on the offset
    # that was shown to both. The tool tells the difference and what to do next;
    # nothing of the slower one is in force.
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
  Scenario: Asking, and explaining the answer
    When the Thistledown document is published with wait at all hosts
    And the command line asks host "a1" for a "note"
    Then the command exits with 0
    And the request is explained as "answered"
    When the command line asks host "a1" for a "note" as JSON
    Then the JSON answer has a request id, a version and words
    When the bill of "borough-north" is read as JSON
    Then the JSON bill names its account, lines and total
    When the command line asks host "a1" for a "no-such-class"
    Then the command exits with 1
    And the command's error says "refused: class_unknown"
