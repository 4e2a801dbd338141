Feature: A read of the configuration is the newest, or says that it is not sure

  Scenario: control hosts restart one after the other
    Given a fleet of 1 routers, 3 control hosts, 1 engines and 1 ticket services
    When 20 customers are declared one by one
    And control host 1 is killed
    And control host 2 is killed
    And control host 3 is killed
    And control host 1 is started
    Then control host 1 is not sure of the newest configuration
    When control host 2 is started
    Then every read at control host 1 is version 21 or not sure, until one is sure
    And every read at control host 2 is version 21 or not sure, until one is sure
