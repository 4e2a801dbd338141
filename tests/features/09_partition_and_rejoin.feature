Feature: Routers are partitioned and later rejoin

  Scenario: a data hall is cut off, serves what it can, and rejoins
    Given a fleet of 3 routers, 3 control hosts, 3 engines and 1 ticket services
    When data hall gresik is cut off
    And 3 seconds pass
    And harbour-agents chats through router 3 for 10 tokens
    Then the stream holds all 10 tokens and its end
    When market-traders buys seat 9A through router 3
    Then the answer is not-run
    When operator one declares customer night-ferry
    Then the change is accepted as version 2
    And router 1 has version 2 in force
    And router 3 has version 1 in force
    When all links are mended
    Then every router has version 2 in force
    When the uneven load runs for 10 seconds
    And the load has ended
    Then the gap stayed within twice the largest request and what is in flight
    And no promise was broken

  Scenario: a one-sided cut between a router and the dispatcher
    Given a fleet of 3 routers, 1 control hosts, 2 engines and 1 ticket services
    When the light load runs for 14 seconds
    And router 1 cannot send to router 2
    And 3 seconds pass
    And router 3 cannot send to router 2
    And 4 seconds pass
    And all links are mended
    And the load has ended
    Then no promise was broken
    And at least 50 requests were answered
