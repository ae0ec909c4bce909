Feature: The command line tells where a request would go, without sending it

  @each.installation
  Scenario: The endpoint that is named is the one that the request then reaches
    # Guards against an explanation that follows other rules than the host.
    Given a second endpoint "engine-2" of "engines"
    And a draft with the parts "manual:6300,own:900" has been answered
    When the command line asks where a draft with the parts "manual:6300,mine:700" goes
    Then it names the endpoint that holds 6300 tokens, whose cache saves time
    And the endpoint that it names has the least total of 2 endpoints compared
    And the same draft, sent, reaches that endpoint

  @each.installation
  Scenario: Asking changes nothing at the host, and sends nothing
    # Guards against a host whose averages, budgets or choices depend on who asked.
    Given a second endpoint "engine-2" of "engines"
    When the command line asks 20 times where drafts, lookups and unknown requests go
    Then no endpoint got a request, and the metrics and the log of the host are as before
    And the log holds neither the key nor the parts of the prompt

  @each.installation
  Scenario: The model that answers first is named, and what the larger one needs
    # Guards against operators who can't tell why the expensive model was asked, or was not.
    When the command line asks where a draft goes
    Then the model "small" answers first, and "large" is asked below a confidence from 0.3 to 0.7
    And an answer whose confidence is just below it is replaced, and one just above is not

  @each.installation
  Scenario Outline: An endpoint that <state> is listed with the reason
    # Guards against an endpoint that gets no requests, and nobody sees why.
    Given a second endpoint "stock-2" of "stock"
    And "stock-1" <state>
    When the command line asks where a lookup goes
    Then it names "stock-2", and "stock-1" is not compared because of "<reason>"

    Examples:
      | state                      | reason                                           |
      | says that it is leaving    | leaving                                          |
      | asks hosts to stay away    | asked this host to stay away                     |
      | has failed                 | paused after failures, or others don't reach it  |
      | is in an evacuated zone    | zone is evacuated                                |
      | has used up its named rate | share of the rate that it names used up          |
      | has a version on trial     | version:                                         |

  @each.installation
  Scenario Outline: A <request> would be refused as <kind>
    # Guards against an explanation that promises what the host refuses.
    When the command line asks where a <request> goes
    Then it exits with 1, and names the refusal "<kind>"

    Examples:
      | request                            | kind            |
      | lookup with an unknown key         | unauthenticated |
      | request for an unknown path        | route_unknown   |
      | lookup with a body of 20000 bytes  | body_too_large  |

  @each.installation
  Scenario: A request for which no endpoint is left would be refused
    # Guards against an explanation without a reason when nothing can be compared.
    Given "stock-1" is in an evacuated zone
    When the command line asks where a lookup goes
    Then it exits with 1, and names the refusal "no_endpoint"

  @each.installation
  Scenario: The table for people has a line for each endpoint
    # Guards against a table that leaves out what programs are told.
    Given a second endpoint "stock-2" of "stock"
    When the command line asks where a lookup goes, for people
    Then the table has the lines "sent to: stock-" and "stock-1" and "stock-2" and "route: lookup"

  Scenario: The explanation is the decision, in 300 situations
    # Guards against a candidate that is named with other times than those by which it is chosen.
    Given a dispatcher with endpoints in the zones "a, b, c, d, e"
    When endpoints are loaded, paused, evacuated and given prompts at random, 300 times
    Then each time the endpoint that is named is the one that is chosen next, with the least total

  Scenario: Asking leaves a host's decisions as they were, also where a request would be refused
    # Guards against questions that move averages, use random numbers or note a shortage.
    Given a dispatcher with endpoints in the zones "a, b"
    When it is asked where requests go, before and after the zones "a, b" are evacuated
    Then its averages, random numbers, shortages and endpoints are as before

  @each.installation
  Scenario Outline: A request with <fault> is rejected, and the field is named
    # Guards against a wrong field that is ignored, so that another request is explained.
    When the command line asks where the request in a file goes, which has <fault>
    Then it exits with 2, and the error names "<field>"

    Examples:
      | fault                  | field         |
      | no path                | path          |
      | a path without a slash | path          |
      | a word as a number     | prompt_tokens |
      | a negative part        | parts.0.tokens|
      | an unknown field       | promt_tokens  |
      | a list as its document | document      |
      | no YAML                | cannot read   |

  @each.installation
  Scenario Outline: A host rejects <body> as a planned request
    # Guards against a host that answers, or fails, on input from other programs.
    When a program asks the host where <body> goes
    Then it is answered with 400, and the error names "<field>"

    Examples:
      | body               | field    |
      | no JSON            | document |
      | an empty document  | host     |
      | a list             | document |

  Scenario Outline: A part "<part>" of a prompt is rejected
    # Guards against a part whose length is lost.
    When the command line asks where a draft with the part "<part>" goes, without a host
    Then it exits with 2, and the error names "expected KEY:TOKENS"

    Examples:
      | part      |
      | manual    |
      | manual:x  |
      | manual:-1 |

  Scenario: A host that does not answer is named
    When the command line asks an address without a host where a lookup goes
    Then it exits with 1, and the error names "no answer"
