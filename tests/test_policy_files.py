"""Checks of the policy files that the deployment lists: their place, their layout and their docstrings."""

from __future__ import annotations

import ast
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
DECISION_PACKAGE = ROOT / "saltcart" / "decision"
MAX_WIDTH = 110  # characters


def policy_files() -> list[Path]:
    deployment = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    return [ROOT / name for name in deployment["policy"]]


def test_each_policy_file_is_a_module_of_the_decision_package() -> None:
    paths = policy_files()
    assert paths and len(set(paths)) == len(paths)
    for path in paths:
        assert path.is_file()
        assert path.resolve().parent == DECISION_PACKAGE and path.suffix == ".py"
        assert len(ast.parse(path.read_text()).body) > 1, f"{path.name} has no code"


def test_lines_of_policy_files_are_within_the_width_limit() -> None:
    lines = [line for path in policy_files() for line in path.read_text().splitlines()]
    assert max(map(len, lines)) <= MAX_WIDTH


def test_each_policy_file_has_a_module_docstring() -> None:
    assert all(ast.get_docstring(ast.parse(path.read_text())) for path in policy_files())
