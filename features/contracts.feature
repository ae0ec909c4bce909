Feature: The operators' document is validated before it is used

  Scenario: All five faults of a document are reported together
    # The whole document is validated before anything is reported, each fault with its path. Guards
    # against reporting one fault at a time, so that the operator needs five attempts.
    Given a document with
      """
      classes:
        note: {importance: 12, targets: {quality: 1.5, first_token_ms: 100, between_tokens_ms: 50, whole_s: 9}}
      models:
        larch: {versions: {"1": {stage: offered, weight: 30, price: {input_per_mtok: 1, output_per_mtok: 1}}}}
      accounts:
        shop: {keys: ["plain-text"], hosts: [a1]}
      """
    When it is parsed
    Then 5 problems are reported
    And a problem at "classes.note.importance" says "less than or equal to 9"
    And a problem at "classes.note.targets.quality" says "less than or equal to 1"
    And a problem at "models.larch.versions.1.weight" says "never routes"
    And a problem at "accounts.shop.keys.0" says "match pattern"
    And a problem at "accounts.shop.hosts" says "never routes"

  Scenario: A key that two client accounts share is refused
    # A request with that key would have two payers, and both could be billed.
    Given a document in which two client accounts share a key
    When it is parsed
    Then 1 problems are reported
    And a problem at "accounts.second.keys.0" says "belongs to one client account"

  Scenario Outline: The example documents are valid
    Given the example document "<name>"
    When it is parsed
    Then no problem is reported

    Examples:
      | name             |
      | thistledown.yaml |
      | anellidoro.yaml  |
