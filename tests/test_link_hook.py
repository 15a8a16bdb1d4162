"""The hook that cuts the links of a soak's controls."""

import contextlib
import socket
import time

from bench.soak.link_hook import sitecustomize as link_hook
import pytest

HOSTS = ("127.0.252.1", "127.0.252.2")


@pytest.fixture
def cut(tmp_path):
    """Returns a function that sets the cut links, as pairs of hosts."""

    def set_links(*pairs):
        path = tmp_path / "cut-links"
        path.write_text("".join(f"{a} {b}\n" for a, b in pairs))
        time.sleep(5 * link_hook.POLL_INTERVAL)

    return set_links


@pytest.fixture
def links(tmp_path, monkeypatch):
    monkeypatch.setattr(link_hook, "MAX_RESEND_DELAY", 0.1)
    hook = link_hook._Links(
        str(tmp_path / "cut-links"), HOSTS[0], frozenset(HOSTS)
    )
    hook.start()
    return hook


@pytest.fixture
def listener():
    with socket.socket() as sock:
        sock.bind((HOSTS[1], 0))
        sock.listen()
        sock.settimeout(0.3)
        yield sock


def _connect(links, listener):
    connection = socket.socket()
    links.connect(connection, listener.getsockname())
    accepted, peer = listener.accept()
    accepted.settimeout(0.3)
    assert peer[0] == HOSTS[0]
    return connection, accepted


def _receive(accepted):
    with contextlib.suppress(TimeoutError):
        return accepted.recv(100)
    return None


def test_bytes_are_held_for_the_time_of_a_cut_and_then_arrive(
    links, listener, cut
):
    connection, accepted = _connect(links, listener)
    with connection, accepted:
        cut(HOSTS)
        assert links.send(connection, b"ab") == 2
        assert _receive(accepted) is None
        accepted.sendall(b"x")  # the other way is open
        assert connection.recv(100) == b"x"
        cut()
        assert links.send(connection, b"c") == 1
        time.sleep(0.2)
        assert _receive(accepted) == b"abc"


# A process that gives a call up closes its connection; the network still
# delivers what it has sent.
def test_bytes_and_the_end_arrive_also_if_the_connection_was_closed(
    links, listener, cut
):
    connection, accepted = _connect(links, listener)
    with accepted:
        cut(HOSTS)
        links.send(connection, b"ab")
        links.close(connection)
        assert _receive(accepted) is None
        cut()
        time.sleep(0.2)
        assert _receive(accepted) == b"ab"
        assert _receive(accepted) == b""


@pytest.mark.parametrize("pair", [HOSTS, HOSTS[::-1]])
def test_new_connections_lead_nowhere_whichever_way_is_cut(
    links, listener, cut, pair
):
    cut(pair)
    with socket.socket() as connection:
        links.connect(connection, listener.getsockname())
        with pytest.raises(TimeoutError):
            listener.accept()
