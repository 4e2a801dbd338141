Feature: What may not be repeated runs at most once

  Scenario: a resend through another router gets the recorded answer
    Given a fleet of 2 routers, 3 control hosts, 1 engines and 2 ticket services
    When market-traders buys seat 5A through router 1
    Then the answer is answered
    When market-traders buys seat 5A through router 2
    Then the answer is answered
    And the answer is the recorded one
    And seat 5A was sold 1 times

  Scenario: an answer lost after the run is unknown, and stays so for resends
    Given a fleet of 2 routers, 3 control hosts, 1 engines and 1 ticket services
    When ticket service 1 is told to cross 1 request
    And market-traders buys seat 5B through router 1
    Then the answer is unknown
    When market-traders buys seat 5B through router 2
    Then the answer is unknown
    And seat 5B was sold 1 times

  Scenario: an answer that may have been broken off is delivered and not recorded
    Given a fleet of 2 routers, 3 control hosts, 1 engines and 1 ticket services
    When ticket service 1 is told to unframed 1 request
    And market-traders buys seat 5D through router 1
    Then the answer is answered
    When market-traders buys seat 5D through router 2
    Then the call was answered before, and its answer is not kept
    And seat 5D was sold 1 times

  Scenario: the recorded answer outlives the leader and every router
    Given a fleet of 2 routers, 3 control hosts, 1 engines and 1 ticket services
    When market-traders buys seat 5C through router 1
    Then the answer is answered
    When 1 second passes
    And the control leader is killed
    And router 1 is killed and started again
    And router 2 is killed and started again
    And 4 seconds pass
    And market-traders buys seat 5C through router 2
    Then the answer is answered
    And the answer is the recorded one
    And seat 5C was sold 1 times

  Scenario: routers and control hosts are killed under resends
    Given a fleet of 4 routers, 3 control hosts, 1 engines and 3 ticket services
    When the tickets load runs for 20 seconds
    And router 1 is killed and started again
    And 2 seconds pass
    And the control leader is frozen for 3 seconds
    And router 2 is killed and started again
    And 2 seconds pass
    And control host 1 is killed and started again
    And ticket service 1 is killed and started again
    And the load has ended
    Then no promise was broken
    And at least 500 requests were answered
