Feature: Requests whose callers have left

  @each.installation
  Scenario Outline: The endpoint of <request> stops when the caller leaves <moment>
    # Guards against an endpoint that works on for nobody.
    Given streams are <kind>, and a second endpoint of each service
    When <request> is answered with the faults "<faults>", and its caller leaves during run <run>
    Then the endpoint of that run is disconnected since its caller has left

    Examples:
      | request  | kind          | moment                          | faults        | run |
      | a lookup | resumable     | before the answer               | MUTE          | 1   |
      | a draft  | resumable     | before the first event          | MUTE          | 1   |
      | a draft  | resumable     | in the middle                   | SLOW          | 1   |
      | a draft  | resumable     | while it is resumed             | CUT, SLOW     | 2   |
      | a draft  | not resumable | before the first event          | MUTE          | 1   |
      | a draft  | not resumable | in the middle                   | SLOW          | 1   |
      | a draft  | not resumable | after another endpoint was full | NOT_RUN, SLOW | 1   |

  @each.installation
  Scenario: The endpoint of a larger model stops when the caller leaves
    # Guards against a larger model's answer that is generated for nobody.
    Given streams are resumable, and a second endpoint of each service
    And the model "small" has confidence 5 and the model "large" 95
    When a draft is answered with the faults "SLOW, SLOW", and its caller leaves during run 2
    Then the endpoint of that run is disconnected since its caller has left

  @each.installation
  Scenario: An order that an endpoint has got is completed although its caller has left
    # Guards against an order of which nobody knows whether it ran.
    Given the endpoints answer after 1.0 s
    When the caller of an order leaves before the answer
    Then the order is answered with 200 all the same

  Scenario Outline: <request> <ends> when its caller leaves
    # Guards against a kind of request that is treated like an order, or an order like the others.
    Then <request> that was sent <ends> when its caller leaves, and it <may> be sent over a connection that was used before

    Examples:
      | request                        | ends    | may     |
      | a lookup                       | ends    | may     |
      | a stream that is resumable     | ends    | may     |
      | a stream that is not resumable | ends    | may not |
      | an order                       | goes on | may not |
