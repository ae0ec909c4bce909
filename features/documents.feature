Feature: The documentation matches the code

  Scenario: Every scenario named in docs/PROMISES.md exists
    # Guards against a renamed or removed scenario that leaves a guarantee without its test.
    Then every scenario that docs/PROMISES.md names exists

  Scenario: The capacity page matches the committed measurements
    # Guards against a measured slope that changes while the page keeps its old figure.
    Then docs/CAPACITY.md equals the page rendered from the committed measurements

  Scenario: A line fit returns the error of its slope
    Given points on the line 3 + 2 x, one of them 0.4 too high
    Then the fitted slope is 2 within its error

  Scenario: The architecture page names every package
    Then docs/ARCHITECTURE.md names every package

  Scenario: The gateway imports only the modules that it needs
    # After a power failure all hosts start at once, and callers get no answer until the modules
    # are loaded. Unneeded ones would double that time.
    When the gateway's main module is imported
    Then the modules "pydantic, urllib3, prometheus_client, cherrypy, numpy" are not loaded
    And the modules "poplarrun.contracts, poplarrun.clients, poplarrun.endpoints" are not loaded

  Scenario Outline: Library examples run
    When the library example "<name>" runs
    Then it succeeds and prints "<text>"

    Examples:
      | name         | text                    |
      | log_fold     | bob's document in force |
      | claims       | one winner              |
      | leases       | b1/1 holds the job      |
      | budgets      | of the limit            |
      | membership   | a2 is held dead         |
      | keepers      | its lease gone: True    |

  Scenario: Every counter is documented
    # Guards against a counter that alerts an operator and is explained nowhere, and against a
    # documented counter that the code doesn't increment any more.
    Then docs/operating/counters.md documents exactly the counters in the code

  Scenario: An undocumented counter is detected
    Given code that counts "a_new_event" and "some_family_" with a variable suffix
    When it is compared with docs/operating/counters.md
    Then the counters "a_new_event, some_family_*" are undocumented

  Scenario: Names of the platform's protocols occur only in its adapter
    # Guards against changes of the platform's interfaces that require changes outside the adapter.
    Then no name of the platform's protocols occurs in poplarrun/ outside poplarrun/platform/
