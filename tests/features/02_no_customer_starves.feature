Feature: No customer starves, including a small one beside a flooding one

  Scenario: one customer floods, a small one sends now and then
    Given a fleet of 3 routers, 1 control hosts, 2 engines and 1 ticket services
    When the flood load runs for 12 seconds
    And the load has ended
    Then customer pilgrim-groups had at least 8 requests answered and 0 refused
    And customer harbour-agents was refused at least 100 times
    And no promise was broken
