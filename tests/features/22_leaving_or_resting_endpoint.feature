Feature: What an endpoint says of itself in its answers is kept to

  # Endpoints said in their answers that they leave, or turned requests away and named the
  # time of rest that they want, and got more all the while. Routers read neither: only the
  # platform's list and operators counted, and a refusal was left out for 0.2 s.
  Scenario: an answer says that its endpoint leaves
    Given a fleet of 3 routers, 1 control hosts, 3 engines and 1 ticket services
    When the uneven load runs for 12 seconds
    And engine 1 is told to leave 1 request
    And 2 seconds pass
    Then engine 1 gets no new work while the others do
    When the load has ended
    Then nothing was lost or cut
    And no promise was broken

  # Who was asked lets it rest; another router may still send.
  Scenario: an answer asks for rest
    Given a fleet of 1 routers, 1 control hosts, 3 engines and 1 ticket services
    When the mixed load runs for 12 seconds
    And engine 1 is told to rest 1 request after 9000
    And 2 seconds pass
    Then engine 1 gets no new work while the others do
    When the load has ended
    Then no promise was broken

  Scenario: an endpoint that has left is used again when it is back
    Given a fleet of 1 routers, 1 control hosts, 1 engines and 1 ticket services
    When engine 1 is told to leave 1 request
    And market-traders chats through router 1 for 20 tokens
    And market-traders chats through router 1 for 20 tokens
    Then the answer is not-run
    And the reason is no-endpoint
    When engine 1 is killed
    And 2 seconds pass
    And engine 1 is started
    And 3 seconds pass
    And market-traders chats through router 1 for 20 tokens
    Then the answer is answered

  Scenario: where all endpoints rest callers are told at once for how long
    Given a fleet of 1 routers, 1 control hosts, 1 engines and 1 ticket services
    When engine 1 is told to rest 1 request after 600000
    And market-traders chats through router 1 for 20 tokens
    Then the answer is not-run
    And the caller is told to come back in 590 to 601 seconds
    When market-traders chats through router 1 for 20 tokens
    Then the answer is not-run
    And the reason is endpoints-rest
    And the caller is told to come back in 590 to 601 seconds

  Scenario: an endpoint serves again after its rest
    Given a fleet of 1 routers, 1 control hosts, 1 engines and 1 ticket services
    When engine 1 is told to rest 1 request after 2000
    And market-traders chats through router 1 for 20 tokens
    And 2 seconds pass
    And market-traders chats through router 1 for 20 tokens
    Then the answer is answered
