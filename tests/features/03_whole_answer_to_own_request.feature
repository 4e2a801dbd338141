Feature: Each caller receives the whole answer to its own request

  Scenario: a stream that breaks is resumed and is whole
    Given a fleet of 2 routers, 1 control hosts, 1 engines and 1 ticket services
    When engine 1 is told to cut 1 request after 40
    And harbour-agents chats through router 1 for 100 tokens
    Then the answer is answered
    And the stream holds all 100 tokens and its end

  Scenario: a stream that cannot be resumed ends with an explicit error
    Given a fleet of 2 routers, 1 control hosts, 1 engines and 1 ticket services
    When engine 1 is told to cut 9 requests after 40
    And harbour-agents chats through router 1 for 400 tokens
    Then the stream ends with an explicit error

  Scenario: a stream that its engine ends inside an event is resumed and is whole
    Given a fleet of 2 routers, 1 control hosts, 1 engines and 1 ticket services
    When engine 1 is told to close 1 request after 40
    And harbour-agents chats through router 1 for 100 tokens
    Then the answer is answered
    And the stream holds all 100 tokens and its end

  Scenario: a stream without length or chunks is whole
    Given a fleet of 2 routers, 1 control hosts, 1 engines and 1 ticket services
    When engine 1 is told to unframed 1 request
    And harbour-agents chats through router 1 for 100 tokens
    Then the answer is answered
    And the stream holds all 100 tokens and its end

  Scenario: a stream that ends inside an event each time ends with an explicit error
    Given a fleet of 2 routers, 1 control hosts, 1 engines and 1 ticket services
    When engine 1 is told to close 9 requests after 40
    And harbour-agents chats through router 1 for 400 tokens
    Then the stream ends with an explicit error

  Scenario: the stream of a plain service is whole without a final event
    Given a fleet of 2 routers, 1 control hosts, 1 engines and 1 ticket services
    When market-traders follows seat 6A through router 1
    Then the answer is answered
    And the stream has all its events and is complete
    When ticket service 1 is told to unframed 1 request
    And market-traders follows seat 6B through router 1
    Then the answer is answered
    And the stream has all its events and is complete

  Scenario: a plain service's stream that ends inside an event is broken off and runs once
    Given a fleet of 2 routers, 1 control hosts, 1 engines and 1 ticket services
    When ticket service 1 is told to close 1 request
    And market-traders follows seat 6C through router 1
    Then the stream is broken off
    When market-traders follows seat 6C through router 2
    Then the answer is unknown
    And seat 6C was sold 1 times

  Scenario: a stream does not go on at an engine whose software has changed
    Given a fleet of 2 routers, 1 control hosts, 1 engines and 1 ticket services
    When engine 1 is told to upgrade 1 request after 40
    And harbour-agents chats through router 1 for 100 tokens
    Then the stream ends with an explicit error

  Scenario: crossed answers are dropped and the request is served elsewhere
    Given a fleet of 2 routers, 1 control hosts, 2 engines and 1 ticket services
    When engine 1 is told to cross 1 request
    And engine 2 is told to cross 1 request
    And harbour-agents chats through router 1 for 20 tokens
    Then the answer is answered
    And the stream holds all 20 tokens and its end

  Scenario: engines are killed and come back under load
    Given a fleet of 3 routers, 1 control hosts, 3 engines and 1 ticket services
    When the uneven load runs for 10 seconds
    And engine 1 is killed and started again
    And 2 seconds pass
    And engine 2 is killed and started again
    And the load has ended
    Then no promise was broken
    And at least 100 requests were answered
