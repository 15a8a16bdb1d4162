import json

import pytest

from sassafrashall import cmdline
from sassafrashall import exceptions
from sassafrashall import explanations


def _file(folder, name, *records):
    path = folder / name
    path.write_text("\n".join(json.dumps(record) for record in records))
    return str(path)


@pytest.fixture
def files(tmp_path):
    return [
        _file(
            tmp_path,
            "entry.log",
            {
                "time": "2026-01-01 00:00:02",
                "process": "vm-a",
                "message": "request refused",
                "request_id": "r7",
                "step": "entry",
                "code": "shed",
                "detail": "the queue is full",
                "took_ms": 4.1,
            },
            {"time": "2026-01-01 00:00:03", "request_id": "other"},
        ),
        _file(
            tmp_path,
            "worker.log",
            {
                "time": "2026-01-01 00:00:01",
                "process": "vm-b",
                "message": "request refused",
                "request_id": "r7",
                "step": "worker",
                "code": "shed",
                "took_ms": 0.4,
            },
        ),
    ]


def test_the_way_of_a_request_is_told_in_order(files, snapshot):
    assert explanations.explain("r7", files).text() == snapshot


def test_the_command_fails_where_no_line_names_the_request(files, capsys):
    assert cmdline.main(["explain", "r7", *files]) == cmdline.EXIT_OK
    assert "slots and its queue were full" in capsys.readouterr().out
    assert cmdline.main(["explain", "r8", *files]) == cmdline.EXIT_FAILED


def test_lines_that_can_not_be_read_are_counted(tmp_path):
    path = tmp_path / "broken.log"
    path.write_text(
        '{"request_id": "r7", "cut\n1.2 vm-a {"request_id": "r7"}\n'
    )
    found = explanations.explain("r7", [str(path)])
    assert (len(found.lines), found.skipped) == (1, 1)


def test_every_missing_file_is_named(tmp_path):
    with pytest.raises(exceptions.FindingsError) as error:
        explanations.explain("r", [str(tmp_path / "a"), str(tmp_path / "b")])
    assert len(error.value.findings) == 2
