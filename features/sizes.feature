Feature: Which model answers on the gateway

  Scenario: A doubtful answer is worth a larger model, a sure one isn't
    Given a policy of sizes before empty engines
    Then an answer of confidence 0.1 is asked again and one of 0.6 is kept

  Scenario: Full engines keep doubtful answers
    # Each large answer delays all that wait behind it: with long queues only the
    # worst answers are asked again.
    Given a policy of sizes before engines with 1.0 s of prompts waiting
    Then an answer of confidence 0.53 is asked again on empty engines only

  Scenario: A caller's estimate of a short answer makes the larger model worth it
    # Notes may have 600 tokens but most have fewer. Priced at 600 the larger model
    # would seem too dear, and callers would be left with doubtful notes.
    Given a policy of sizes before empty engines
    Then a doubtful note of 1500 tokens in and 600 out at most is asked again where its caller expects 100

  Scenario: Nearly all callers get a good answer, and few good ones are dropped
    # Half of the requests are too hard for the small model, whose confidence is off by
    # 0.1 as a rule. Callers of the others should keep the cheap answer that they have.
    Given a policy of sizes before empty engines
    When 4000 requests of mixed difficulty are answered
    Then at least 0.95 of the callers get a good answer
    And at most 0.06 of them wait for the larger model in vain

  Scenario: A short question with a usual answer is not too dear
    # Prices have no unit that is known beforehand. Weighed against the length of its own
    # prompt, the answer to each short question would look dear, and callers who ask
    # them would keep poor answers however much the answers are worth to them.
    Given a policy of sizes before empty engines
    And 200 usual requests of 800 tokens in and 300 out
    Then a doubtful one of 800 tokens in and 300 out is asked again

  Scenario: The unit of the prices makes no difference
    Given a policy of sizes before empty engines
    Then the same confidences are asked again at prices a thousand times as high
