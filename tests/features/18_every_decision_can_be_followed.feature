Feature: One request can be followed from admission to answer

  Scenario: explain shows each decision with its reason
    Given a fleet of 3 routers, 1 control hosts, 1 engines and 1 ticket services
    When harbour-agents chats through router 2 for 5 tokens
    Then the request can be followed from admission to answer
