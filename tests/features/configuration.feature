Feature: Operators change the configuration
  An accepted change is in force everywhere within seconds and never reverts.

  Scenario: Two operators race
    Given operators ann and bob have seen the same version
    When ann applies 3 entries per look-up
    And bob applies 2 entries per look-up
    Then bob gets code 309 with the change of ann
    And the platform holds 3 entries per look-up
    When bob looks at the difference
    And bob applies 2 entries per look-up
    Then the platform holds 2 entries per look-up

  Scenario: Both operators write at the same moment
    Given operators ann and bob have seen the same version
    When ann's change arrives between bob's read and write of 2 entries per look-up
    Then bob gets code 309 with the change of ann
    And the platform holds 3 entries per look-up

  Scenario: A mistake in a file changes nothing
    Given operators ann and bob have seen the same version
    When ann applies 0 entries per look-up
    Then ann gets code 305 for lookup.json
    And nothing was sent to the platform

  Scenario Outline: The answer to the update is lost
    Given operators ann and bob have seen the same version
    And the platform loses <what>
    When ann applies 3 entries per look-up
    Then ann's change is accepted once
    And the platform holds 3 entries per look-up

    Examples:
      | what                 |
      | the answer           |
      | the update           |
      | both, one each time  |

  Scenario: A drain survives an apply
    Given operators ann and bob have seen the same version
    When bob drains server a
    And ann applies 3 entries per look-up
    Then ann's change is accepted once
    And server a is drained
