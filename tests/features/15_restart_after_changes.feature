Feature: Processes restart after hundreds of configuration changes

  Scenario: all control hosts and routers restart after hundreds of changes
    Given a fleet of 2 routers, 3 control hosts, 1 engines and 1 ticket services
    When 300 customers are declared one by one
    And control host 1 is killed and started again
    And control host 2 is killed and started again
    And control host 3 is killed and started again
    And router 1 is killed and started again
    And router 2 is killed and started again
    Then every router has version 301 in force
    When operator last declares customer night-ferry
    Then the change is accepted as version 302
    And every router has version 302 in force
