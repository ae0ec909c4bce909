Feature: The documents say what is so

  Scenario: Each test that the promises name exists
    # A promise without its test is a claim. A renamed scenario would leave the
    # page pointing at nothing.
    Then every scenario that docs/PROMISES.md names exists

  Scenario: The capacity page is the one that the measurements give
    # A slope that changed while the page did not would be a figure that nobody
    # measured.
    Then docs/CAPACITY.md is what the committed measurements render to

  Scenario: A line is fitted with its error
    Given points on the line 3 + 2 x, one of them 0.4 too high
    Then the fitted slope is 2 within its error

  Scenario: Every package stands in the picture
    Then docs/ARCHITECTURE.md names every package

  Scenario: A host of the gateway loads only what it serves with
    # All hosts lose power at once and start anew. Callers get nothing until the program is
    # loaded, and what it loads besides would double that time.
    When the program of the gateway is loaded
    Then it has not loaded "pydantic, urllib3, prometheus_client, cherrypy, numpy"
    And it has not loaded "poplarrun.contracts, poplarrun.clients, poplarrun.endpoints"

  Scenario Outline: Library examples run
    When the library example "<name>" runs
    Then it ends well and prints "<text>"

    Examples:
      | name         | text                    |
      | log_fold     | bob's document in force |
      | claims       | one winner              |
      | leases       | b1/1 holds the job      |
      | budgets      | of the limit            |
      | membership   | a2 is held dead         |
      | keepers      | its lease gone: True    |

  Scenario: Each counter stands in a page with its meaning
    # Somebody is called at night by a counter. A name that no page explains
    # leaves them to read the code; one that the code lost never fires.
    Then docs/operating/counters.md explains every counter of the code, and no other

  Scenario: A counter that the page lacks is found
    Given code that counts "a_new_event" and "some_family_" with an ending
    When it is compared with the page
    Then the page lacks "a_new_event, some_family_*"

  Scenario: The platform's names stand in its adapter alone
    # A name of the platform's pages outside the adapter would make each change of the
    # pages a change of the decisions.
    Then no name on the platform's wire stands in poplarrun/ outside poplarrun/platform/
