Feature: When a caller is told "not run", the request did not run

  Scenario: an endpoint that refuses proves that the call did not run
    Given a fleet of 2 routers, 1 control hosts, 1 engines and 1 ticket services
    When ticket service 1 is told to refuse 99 requests
    And market-traders buys seat 4A through router 1
    Then the answer is not-run
    And the reason is endpoints-refuse
    And seat 4A was sold 0 times

  Scenario: an endpoint that is gone proves that the call did not run
    Given a fleet of 2 routers, 1 control hosts, 1 engines and 1 ticket services
    When ticket service 1 is killed
    And market-traders buys seat 4B through router 1
    Then the answer is not-run
    When ticket service 1 is started
    And 1 second passes
    And market-traders buys seat 4B through router 2
    Then the answer is answered
    And seat 4B was sold 1 times

  Scenario: a break after the call was sent is never called "not run"
    Given a fleet of 2 routers, 1 control hosts, 1 engines and 1 ticket services
    When ticket service 1 is told to cut 1 request
    And market-traders buys seat 4C through router 1
    Then the answer is unknown
    And seat 4C was sold 1 times
    When market-traders buys seat 4C through router 2
    Then the answer is unknown
    And seat 4C was sold 1 times

  Scenario: without a majority of control hosts calls are refused at once and the rest is served
    Given a fleet of 2 routers, 3 control hosts, 1 engines and 1 ticket services
    When control host 1 is killed
    And control host 2 is killed
    Then router 1 says that it is stale
    When market-traders buys seat 4D through router 1
    Then the answer is not-run
    And the reason is no-majority
    And seat 4D was sold 0 times
    When harbour-agents chats through router 1 for 10 tokens
    Then the stream holds all 10 tokens and its end
