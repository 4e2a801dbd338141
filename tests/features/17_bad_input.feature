Feature: Bad input gets a clear error and harms nobody else

  Scenario: wrong requests
    Given a fleet of 2 routers, 1 control hosts, 1 engines and 1 ticket services
    When nobody sends "{}" to /v1/chat/completions through router 1
    Then the answer has status 400
    When nobody sends "{not json" to /v1/chat/completions through router 1
    Then the answer has status 400
    When nobody chats through router 1 for 5 tokens
    Then the answer has status 403
    When harbour-agents sends "x" to /no-such-service/x through router 1
    Then the answer has status 404
    When harbour-agents sends 5000000 bytes to /tiket-app/fares through router 1
    Then the answer has status 413
    When harbour-agents chats through router 1 for 5 tokens
    Then the stream holds all 5 tokens and its end

  Scenario: garbage on the peer port
    Given a fleet of 2 routers, 1 control hosts, 1 engines and 1 ticket services
    When garbage is sent to the peer port of router 1
    Then router 1 has logged peer: refused a connection
    And router 1 has logged member: dropped a malformed datagram
    When harbour-agents chats through router 1 for 5 tokens
    Then the stream holds all 5 tokens and its end
