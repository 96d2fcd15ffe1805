"""Tests of the deployment that other tests use."""

from tests.platform.world import free_port


def test_ports_of_a_gateway_differ():
    # Of five ports drawn at random from 768, two are the same once in 77 gateways. Such a
    # gateway cannot bind the second one and ends before its first line.
    ports = [free_port() for _ in range(40)]
    assert len(set(ports)) == len(ports)
