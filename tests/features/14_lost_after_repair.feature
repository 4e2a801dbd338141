Feature: A second host is lost right after a repair

  Scenario: a lost disk comes back as a new store, and another host is lost once it is let in
    Given a fleet of 2 routers, 3 control hosts, 1 engines and 1 ticket services
    When operator one declares customer night-ferry
    And control host 2 loses its disk
    Then control host 2 counts in majorities no more
    When control host 2 is let in again
    Then control host 2 counts in majorities again
    When control host 3 is killed
    And operator two declares customer day-ferry
    Then the change is accepted as version 3
    And every router has version 3 in force

  Scenario: a store without a disk does not vote before it is let in
    Given a fleet of 2 routers, 3 control hosts, 1 engines and 1 ticket services
    When operator one declares customer night-ferry
    And control host 2 loses its disk
    And control host 3 is killed
    Then router 1 says that it is current
    When market-traders buys seat 14A through router 1
    Then the answer is not-run
    When control host 3 is started
    And operator two declares customer day-ferry
    Then the change is accepted as version 3
