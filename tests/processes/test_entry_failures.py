from pytest_bdd import scenarios

scenarios("../features/entry_failures.feature")
