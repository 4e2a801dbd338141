Feature: A planned stop cuts no request in flight

  Scenario: a router stops under load
    Given a fleet of 3 routers, 1 control hosts, 2 engines and 1 ticket services
    When the light load runs for 3 seconds
    And the load has ended
    And harbour-agents chats through router 3 for 10 tokens
    Then the answer is answered
    When router 3 is stopped as planned
    And harbour-agents chats through router 1 for 10 tokens
    Then the stream holds all 10 tokens and its end

  Scenario: the dispatcher stops while others have requests in flight
    Given a fleet of 3 routers, 1 control hosts, 2 engines and 1 ticket services
    When the streams load runs for 8 seconds
    And the dispatcher of the model is stopped as planned
    And the load has ended
    Then no stream was cut

  Scenario: the control leader stops under ticket calls
    Given a fleet of 3 routers, 3 control hosts, 1 engines and 2 ticket services
    When the tickets load runs for 8 seconds
    And the control leader is stopped as planned
    And the load has ended
    Then no promise was broken
    And nothing was lost or cut
