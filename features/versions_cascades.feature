Feature: A cascade gives the caller one answer

  Scenario Outline: What a judge's score is worth is learnt from ratings
    # The judge is not calibrated: only its relation to ratings counts.
    Given 400 judged and rated answers of which <wrong> in 10 are wrong, with "<judge>" scores
    When the cheapest cut that reaches 0.82 with a second version of 0.93 is looked for
    Then a cut is <found>

    Examples:
      | wrong | judge   | found     |
      | 3     | telling | found     |
      | 3     | blind   | not found |
      | 9     | telling | found     |

  @fixture.cascade_fleet
  Scenario: Poor first answers are escalated, and callers see one answer
    # The cheap version's answers are half poor, and the engine's confidence tells
    # which. The streaming caller waits for the judge and then gets one whole
    # answer of 40 words, whichever version it came from, and one bill.
    Given cheap answers that are half poor, beside a dear version, with a judge
    When 240 "digest" answers are streamed until some are escalated
    Then each cascade's stream had 40 words and one clean end
    And escalated answers were billed once, for both steps

  @fixture.cascade_fleet
  Scenario: A session gets no cascade
    Given cheap answers that are half poor, beside a dear version, with a judge
    When 240 "digest" answers are streamed until some are escalated
    And a session sends 12 "digest" requests
    Then all of the session's answers came from one version
