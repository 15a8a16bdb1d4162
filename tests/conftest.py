import hypothesis
import pytest

from tests import mechanisms

# CI has one verdict for the same code: examples are not drawn anew, and none is
# judged by the time that it takes. `--hypothesis-profile=random` draws anew.
hypothesis.settings.register_profile("random", deadline=None)
hypothesis.settings.register_profile("fixed", derandomize=True, deadline=None)
hypothesis.settings.load_profile("fixed")


def pytest_addoption(parser):
    parser.addoption(
        "--without",
        choices=sorted(mechanisms.DISABLE_BY_NAME),
        help="runs the tests with one mechanism disabled",
    )


@pytest.fixture(autouse=True)
def _disabled_mechanism(request, monkeypatch):
    name = request.config.getoption("--without")
    if name:
        mechanisms.DISABLE_BY_NAME[name](monkeypatch)


@pytest.fixture(params=["in order", "reversed"])
def scheduling(request, monkeypatch):
    """Fixes the order in which trio runs the tasks that are ready.

    It otherwise runs each batch of them in a random order.
    """
    core = "trio._core._run"
    monkeypatch.setattr(f"{core}._ALLOW_DETERMINISTIC_SCHEDULING", True)
    monkeypatch.setattr(
        f"{core}._r.shuffle",
        list.reverse if request.param == "reversed" else lambda batch: None,
    )
