"""The examples of docs/OPERATORS.md, run in order against real processes."""

from __future__ import annotations

import json
import re
import shlex
from pathlib import Path

from click.testing import CliRunner
from tools.cluster import OPERATOR_TOKEN, Cluster, call, wait_until

from wigeonpoint.cli import main

PAGE = Path(__file__).parent.parent / "docs" / "OPERATORS.md"
TABLES = {"routes": {"closures": {"pool": "plans"}}, "pools": {"plans": {"group": "signplan-0"}}}


def examples() -> list[tuple[str, str]]:
    """Commands of the page with the output shown below each."""
    found = []
    for block in re.findall(r"```console\n(.*?)```", PAGE.read_text(), re.DOTALL):
        for part in block.removeprefix("$ ").split("\n$ "):
            command, _, output = part.partition("\n")
            found.append((command, output.strip()))
    return found


def states_agree(cluster: Cluster) -> bool:
    """Whether all three instances are known and have the same active state."""
    url = f"http://{cluster.processes['chur-1'].address}/admin/v1/status"
    answer = call("GET", url, token=OPERATOR_TOKEN).body
    numbers = [one["number"] for one in answer["instances"]]
    return len(numbers) == 3 and len(set(numbers)) == 1


class TestOperatorsPage:
    """Guards against a page whose commands or outputs no longer hold."""

    def test_examples_print_what_the_page_shows(self, tmp_path: Path) -> None:
        with Cluster() as cluster:
            cluster.add_group("signplan-0", ["chur", "chur", "sargans"])
            for table, rows in TABLES.items():
                cluster.put_rows(table, rows)
            for name in ("chur-1", "chur-2", "sargans-1"):
                cluster.add_instance(name, name.split("-")[0])
            cluster.wait_ready("chur-1", "chur-2", "sargans-1")
            (tmp_path / "tables.json").write_text(json.dumps(TABLES))
            settings = (cluster.directory / "chur-1.json").read_text()
            (tmp_path / "settings.json").write_text(settings)
            for command, output in examples():
                line = command.replace("127.0.0.1:8080", cluster.processes["chur-1"].address)
                line = line.replace("settings.json", str(tmp_path / "settings.json"))
                line = line.replace("tables.json", str(tmp_path / "tables.json"))
                words = shlex.split(line)
                assert words[0] == "wigeonpoint"
                if "status" in words:
                    wait_until(lambda: states_agree(cluster), "same state active everywhere")
                environment = {"WIGEONPOINT_TOKEN": OPERATOR_TOKEN}
                result = CliRunner().invoke(main, words[1:], env=environment)
                assert result.output.strip() == output, command
