Feature: An entry is stopped as planned
  A planned stop interrupts no request.

  Scenario Outline: <processes> get SIGTERM while callers send
    Guards against an entry that stops taking requests while look-up answers still
    name it, and against one that ends before its running requests have.

    Given callers of all failure domains send 60 requests per second
    When 1 s passes
    And a booking that takes 2.4 s is begun at north-a-vm1
    And <processes> of north-a-vm1 get SIGTERM
    And the entry process of north-a-vm1 has ended with status 0
    And 1 s passes
    And the load ends
    Then every answer agrees with the servers' logs
    And the long booking was completed
    And no call was cut
    And no booking was refused
    And every call was completed
    And no server was offered more requests than it has slots

    Examples:
      | processes         |
      | the entry process |
      | all processes     |
