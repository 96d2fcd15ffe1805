Feature: The platform fails, and operators change the configuration
  An accepted configuration is in force everywhere and never reverts. Nothing on the
  request path needs the platform.

  Scenario: An entry VM starts while the platform is down
    Guards against a VM that needs the platform to join, and against an outage that
    callers notice.

    Given callers of all failure domains send 40 requests per second
    When the platform stops answering
    And the entry VM north-a-vm3 is added
    And all VMs serve the same version
    And 3 s pass
    And the load ends
    Then north-a-vm3 took part in the work
    And every call was completed
    And every answer agrees with the servers' logs
    And no server was offered more requests than it has slots
    And no VM has a lower version than before

  Scenario: The answer to a configuration write is lost
    Guards against a change that is written twice or reported as failed.

    Given the platform loses the answer to the next write
    When ann applies 3 entries per look-up
    Then ann's change was accepted
    And 1 change was added
    And all VMs serve the same version

  Scenario: Two operators race
    Guards against a change that overwrites another one unseen.

    When ann applies 2 entries per look-up while bob applies 1
    Then one change was accepted and the other got code 309
    And 1 change was added
    And the configuration is that of the accepted change

  Scenario: The platform's watches go silent
    Guards against agents that wait for ever on a dead connection.

    Given the platform's watches are silent
    When ann applies 4 entries per look-up
    Then ann's change was accepted
    And all VMs serve the same version
