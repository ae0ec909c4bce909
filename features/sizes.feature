Feature: Which model answers on the gateway

  Scenario: A doubtful answer is escalated to a larger model, a confident one isn't
    Given a size policy with idle engines
    Then an answer of confidence 0.1 is escalated and one of 0.6 is kept

  Scenario: Full engines keep doubtful answers
    # Each answer of a larger model delays all requests behind it: with long queues only the
    # worst answers are escalated.
    Given a size policy with engines where 1.0 s of prompts wait
    Then an answer of confidence 0.53 is escalated on idle engines only

  Scenario: Engines that are nearly a target behind keep even poor answers
    # Load: more prompts than the engines read. Each larger answer takes the time of ten others.
    Given a size policy with engines where 1.4 s of prompts wait
    Then an answer of confidence 0.3 is escalated on idle engines only

  Scenario: Most callers are served in time by a third of the engines
    # Load: a zone's engines have two zones' callers.
    When the load "overload" is played with notices
    Then at least 0.7 of the callers get a good answer in time

  Scenario: A caller's length hint makes the larger model worth its price
    # Answers may have 600 tokens but most are shorter. Priced at 600 tokens, the larger model
    # would seem too expensive, and callers would be left with doubtful answers.
    Given a size policy with idle engines
    Then a doubtful answer to 1500 prompt tokens with at most 600 tokens is escalated if 100 are hinted

  Scenario: Nearly all callers get a good answer, and few good ones are discarded
    # Half of the requests are too difficult for the small model, whose confidence has a
    # standard error of 0.1. Callers of the others should keep the cheap answer.
    Given a size policy with idle engines
    When 4000 requests of mixed difficulty are answered
    Then at least 0.95 of the callers get a good answer
    And at most 0.06 of them wait for the larger model in vain

  Scenario: A short prompt with an answer of mean length is not too expensive
    # The unit of prices is unknown. If a request's price were compared with the length of its
    # own prompt, the answer to each short prompt would look expensive, and its callers would
    # keep poor answers however much good ones are worth to them.
    Given a size policy with idle engines
    And 200 typical requests of 800 prompt tokens and 300 generated tokens
    Then a doubtful one of 800 prompt tokens and 300 generated tokens is escalated

  Scenario: The unit of the prices makes no difference
    Given a size policy with idle engines
    Then answers of the same confidences are escalated at prices a thousand times as high
