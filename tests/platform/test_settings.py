import pytest

from knapweeddock.errors import ConfigError
from knapweeddock.platform.settings import load
from standins.documents import settings_text


def test_settings(tmp_path):
    path = tmp_path / "boot.toml"
    path.write_text(settings_text())
    settings = load(path)
    assert settings.vm == "front-north-a-1"
    assert settings.region == "north"
    assert settings.front == ("127.0.0.1", 8161)
    assert settings.peer == ("127.0.0.1", 7720)
    assert settings.store.address == ("10.200.1.7", 8169)
    assert settings.link_mbps == 1000.0
    assert settings.limits.shutdown_timeout_s == 6.0
    assert settings.limits.retry_allowance == 62
    assert settings.limits.max_region_shift == 0.15


@pytest.mark.parametrize("broken", ["NodeName =", "NodeName = 3\n", ""])
def test_broken_settings_are_refused(tmp_path, broken):
    path = tmp_path / "boot.toml"
    path.write_text(broken)
    with pytest.raises(ConfigError):
        load(path)


def test_settings_cut_short_are_refused(tmp_path):
    # The platform replaces the file while the process may read it.
    path = tmp_path / "boot.toml"
    path.write_text(settings_text()[:300])
    with pytest.raises(ConfigError):
        load(path)


def test_missing_settings_are_refused(tmp_path):
    with pytest.raises(ConfigError):
        load(tmp_path / "none.toml")


def test_second_port_between_gateways_is_for_forwarded_requests(tmp_path):
    path = tmp_path / "boot.toml"
    text = settings_text()
    path.write_text(text)
    assert load(path).forwarding is None
    path.write_text(text.replace("InternalPorts = [7720, 7720]", "InternalPorts = [7720, 7735]"))
    assert load(path).forwarding == ("127.0.0.1", 7721)


@pytest.mark.parametrize("ports", ["[]", '["7720", "7735"]', "[7720, 7735.5]", "7720"])
def test_ports_that_are_no_numbers_are_refused(tmp_path, ports):
    path = tmp_path / "boot.toml"
    text = settings_text()
    path.write_text(text.replace("[7720, 7720]", ports))
    with pytest.raises(ConfigError):
        load(path)
