Feature: Any of these may come at any moment, together or twice

  Scenario: hosts are killed and frozen and a hall is cut, twice, under a mixed load
    Given a fleet of 4 routers, 3 control hosts, 3 engines and 2 ticket services
    When the mixed load runs for 30 seconds
    And the dispatcher of the model is killed and started again
    And the control leader is killed and started again
    And data hall gresik is cut off
    And 2 seconds pass
    And engine 1 is killed and started again
    And all links are mended
    And 2 seconds pass
    And the dispatcher of tickets is frozen for 3 seconds
    And the control leader is frozen for 3 seconds
    And data hall perak-b is cut off
    And ticket service 1 is killed and started again
    And 2 seconds pass
    And all links are mended
    And router 3 is killed and started again
    And the load has ended
    Then no promise was broken
    And at least 200 requests were answered
    When 3 seconds pass
    And the uneven load runs for 10 seconds
    And the load has ended
    Then the gap stayed within twice the largest request and what is in flight
    And no promise was broken
