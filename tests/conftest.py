import pytest

from tests import mechanisms


def pytest_addoption(parser):
    parser.addoption(
        "--without",
        choices=sorted(mechanisms.OFF),
        help="switches one mechanism off, to see that its proof fails",
    )


@pytest.fixture(autouse=True)
def _without(request, monkeypatch):
    name = request.config.getoption("--without")
    if name:
        mechanisms.OFF[name](monkeypatch)
