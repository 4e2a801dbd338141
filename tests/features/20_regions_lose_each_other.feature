Feature: Regions lose each other

  Scenario: neither side has a majority, both serve, and nothing is lost
    Given a fleet of 3 routers, 3 control hosts, 3 engines and 1 ticket services
    When the light load runs for 10 seconds
    And data hall gresik is cut off
    And control host 1 is killed
    And 3 seconds pass
    Then control host 2 is not sure of the newest configuration
    And control host 3 is not sure of the newest configuration
    When harbour-agents chats through router 1 for 10 tokens
    Then the stream holds all 10 tokens and its end
    When harbour-agents chats through router 3 for 10 tokens
    Then the stream holds all 10 tokens and its end
    And router 1 has version 1 in force
    And router 3 has version 1 in force
    When control host 1 is started
    And all links are mended
    And operator one declares customer night-ferry
    Then the change is accepted as version 2
    And every router has version 2 in force
    When the load has ended
    Then no promise was broken
