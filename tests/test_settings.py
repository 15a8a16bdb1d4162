import pytest

from sassafrashall import exceptions
from sassafrashall import settings
from sassafrashall import settings_file
from sassafrashall.decisions import retries

NODE = """\
role: node
vm: node-1
data_centre: amman
listen:
  callers: 127.0.0.1:7001
  local: 127.0.0.1:7002
  peers: 127.0.0.1:7003
  ops: 127.0.0.1:7004
controls:
  - vm: control-1
    data_centre: amman
    address: 127.0.0.1:7100
fleet_secret: a-secret-of-some-length
"""

FAULTY = """\
role: nodes
vm: 12
data_centre: amman
listen:
  callers: localhost:7001
  local: 127.0.0.1:70020
  ops: 127.0.0.1:7004
  colour: red
controls:
  - vm: control-1
    data_centre: amman
fleet_secret: a-secret-of-some-length
default_timeout_ms: soon
"""


def _findings(text, kind=settings.Daemon):
    with pytest.raises(exceptions.FindingsError) as caught:
        settings_file.parse(text, "node.yaml", kind)
    return str(caught.value)


def test_a_valid_file_is_read():
    parsed = settings_file.parse(NODE, "node.yaml", settings.Daemon)
    assert parsed.role is settings.Role.NODE
    assert parsed.listen.peers.port == 7003
    assert parsed.policy == settings.Policy()


def test_every_fault_is_reported_with_its_line_and_key(snapshot):
    assert _findings(FAULTY) == snapshot


def test_invalid_values_are_reported(snapshot):
    text = NODE.replace("127.0.0.1:7002", "10.0.0.1:7002").replace(
        "a-secret-of-some-length", "short"
    )
    text += "policy:\n  limit: magic\n  queue_length: -1\n"
    assert _findings(text) == snapshot


def test_a_control_needs_a_folder_and_its_own_name(snapshot):
    assert _findings(NODE.replace("role: node", "role: control")) == snapshot


@pytest.mark.parametrize("text", ["", "- a\n", "a: [\n", "\tx"])
def test_text_without_a_mapping_is_rejected(text):
    assert _findings(text).startswith("node.yaml")


def test_a_missing_file_is_reported(tmp_path):
    with pytest.raises(exceptions.FindingsError):
        settings_file.read(str(tmp_path / "none.yaml"), settings.Tool)


def test_the_fleet_retry_ratio_limits_the_retries_of_a_hop():
    routed = settings.Routed(retry_ratio=0.1)
    policy = routed.with_retry_ratio(retries.ArrivalRetries())
    assert policy.ratio == pytest.approx(0.04)
    assert routed.with_retry_ratio(retries.NoRetries()) == retries.NoRetries()
    policy = routed.with_retry_ratio(retries.UrgentRetries())
    assert policy == retries.UrgentRetries(
        ratio=pytest.approx(0.04), tolerated_ratio=0.1
    )


# Guards against a node that serves nothing, or runs out of memory, by a depth
# that was written wrongly.
@pytest.mark.parametrize(
    ("value", "text"),
    [
        ("0", "must be within 1 to 64"),
        ("-3", "must be within 1 to 64"),
        ("65", "must be within 1 to 64"),
        ("many", "'many' is not a whole number"),
        ("1.5", "1.5 is not a whole number"),
        ("true", "True is not a whole number"),
    ],
)
def test_a_wrong_pipeline_depth_is_reported(value, text):
    findings = _findings(NODE + f"routed:\n  pipeline_depth: {value}\n")
    assert f"routed.pipeline_depth: {text}" in findings


def test_the_pipeline_depth_is_read():
    node = NODE.replace(
        "listen:\n",
        "listen:\n"
        "  readiness: 127.0.0.1:7005\n"
        "  announcements: 127.0.0.1:7006\n",
    )
    for line, depth in (("", 1), ("  pipeline_depth: 8\n", 8)):
        text = node + "routed:\n  service: alpha\n" + line
        parsed = settings_file.parse(text, "node.yaml", settings.Daemon)
        assert parsed.routed.pipeline_depth == depth


@pytest.mark.parametrize(
    ("text", "seconds"), [("1500ms", 1.5), ("2.5s", 2.5), ("0ms", 0.0)]
)
def test_durations(text, seconds):
    assert settings.parse_duration(text).seconds == seconds


@pytest.mark.parametrize("text", ["", "5", "s", "-1s", "1m", "1 s", "1e3ms"])
def test_invalid_durations_are_rejected(text):
    with pytest.raises(ValueError):
        settings.parse_duration(text)


def test_seeds_replace_controls():
    text = """
role: node
vm: vm-a
data_centre: dc-a
fleet_secret: a-secret-of-some-length
seeds: ["10.0.0.1:8540", "10.0.0.2:8540"]
seed_port: 7000
listen:
  callers: 10.0.0.3:1
  peers: 10.0.0.3:2
  readiness: 10.0.0.3:3
  announcements: 10.0.0.3:4
  ops: 10.0.0.3:5
routed:
  service: alpha
  upstream: 10.0.0.3:6
  strict_withdrawal: true
  withdrawal: 5000ms
"""
    parsed = settings_file.parse(text, "f", settings.Daemon)
    assert [str(control.address) for control in parsed.controls] == [
        "10.0.0.1:7000",
        "10.0.0.2:7000",
    ]
    assert parsed.routed.strict_withdrawal
    assert parsed.routed.withdrawal.seconds == 5.0
    with pytest.raises(exceptions.FindingsError) as error:
        settings_file.parse(text.replace("true", "1"), "f", settings.Daemon)
    (finding,) = error.value.findings
    assert (finding.key, finding.line) == ("routed.strict_withdrawal", 17)


COLD = """
routed:
  cold_overage: 1.5
  cold_slack: 8
"""


def test_the_bounds_of_cold_upstreams_are_read():
    text = NODE.replace(
        "  local: 127.0.0.1:7002",
        "  readiness: 127.0.0.1:7002\n  announcements: 127.0.0.1:7005",
    )
    parsed = settings_file.parse(text + COLD, "f", settings.Daemon)
    assert parsed.routed.cold_overage == 1.5
    assert parsed.routed.cold_slack == 8
    parsed = settings_file.parse(text + "routed: {}\n", "f", settings.Daemon)
    assert parsed.routed.cold_overage == parsed.routed.cold_slack == 0
    for wrong in ("-1", ".nan", ".inf"):
        bad = COLD.replace("1.5", wrong).replace("8", "-1")
        with pytest.raises(exceptions.FindingsError) as error:
            settings_file.parse(text + bad, "f", settings.Daemon)
        assert [finding.key for finding in error.value.findings] == [
            "routed.cold_overage",
            "routed.cold_slack",
        ]


def test_a_fraction_of_leases_is_above_0_and_up_to_1():
    text = NODE.replace(
        "  local: 127.0.0.1:7002",
        "  readiness: 127.0.0.1:7002\n  announcements: 127.0.0.1:7005",
    )
    text += "routed:\n  quota_lease_fraction: "
    for right in ("0.01", "1"):
        settings_file.parse(text + right, "f", settings.Daemon)
    for wrong in ("0", "1.01", "-1", ".nan"):
        with pytest.raises(exceptions.FindingsError) as error:
            settings_file.parse(text + wrong, "f", settings.Daemon)
        (finding,) = error.value.findings
        assert finding.key == "routed.quota_lease_fraction"


# A process that is told less memory than it needs at rest would close every
# connection.
@pytest.mark.parametrize("value", ["63", "0", "-1", "200.5", "null", "'200'"])
def test_wrong_memory_is_a_finding_at_its_line(value):
    text = f"""
role: node
vm: vm-a
data_centre: dc-a
fleet_secret: a-secret-of-some-length
memory_mb: {value}
seeds: ["10.0.0.1:8540"]
listen:
  callers: 10.0.0.3:1
  local: 127.0.0.1:2
  peers: 10.0.0.3:3
  ops: 10.0.0.3:4
"""
    with pytest.raises(exceptions.FindingsError) as error:
        settings_file.parse(text, "f", settings.Daemon)
    (finding,) = error.value.findings
    assert (finding.key, finding.line) == ("memory_mb", 6)
    parsed = settings_file.parse(
        text.replace(f"_mb: {value}", "_mb: 300"), "f", settings.Daemon
    )
    assert parsed.memory_mb == 300
