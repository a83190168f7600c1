"""The importer: what it converts, and what it reports with file and line."""

from __future__ import annotations

import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

from saltcart import deployment
from saltcart.importer import Report, apache, modjk, to_toml

WORKERS = """\
# two nodes of one balancer
base=10.0.0
worker.list=lb, status
worker.template.type=ajp13
worker.template.port=8010
worker.template.lbfactor=2
worker.one.reference=worker.template
worker.one.host=$(base).1
worker.two.reference=worker.template
worker.two.host=two.example.org
worker.two.lbfactor=0.5
worker.two.secret=a"b
worker.two.socket_timeout=10
worker.old.host=old
worker.old.activation=Disabled
worker.lb.type=lb
worker.lb.balance_workers=one
worker.lb.balance_workers=two,old,lost
worker.status.type=status
worker.spare.host=spare
nonsense
"""
APACHE = """\
ProxyRequests Off
<Proxy "balancer://declarations">
    # unchanged weights
    BalancerMember ajp://10.0.0.1:8010 loadfactor=2 route=a
    BalancerMember "ajp://10.0.0.2" \\
        secret=s3cret
    BalancerMember http://10.0.0.3
    BalancerMember ajp://10.0.0.4 status=+D
    BalancerMember ajp://10.0.0.5:0
    ProxySet lbmethod=byrequests
</Proxy>
BalancerMember balancer://other ajp://h/app loadfactor=x
BalancerMember balancer://other ajp://h:9/app
<Proxy balancer://empty>
"""


def test_mod_jk_workers_are_converted_and_the_rest_is_reported() -> None:
    report = Report()
    upstreams = modjk.read_workers("w", WORKERS, report)
    members = [
        (member.host, member.weight, member.secret) for upstream in upstreams for member in upstream.members
    ]
    assert [upstream.name for upstream in upstreams] == ["lb"]
    assert members == [("10.0.0.1:8010", 2.0, ""), ("two.example.org:8010", 0.5, 'a"b')]
    assert (
        str(report)
        == """\
w:3: status has no usable members
w:13: not converted: worker.two.socket_timeout
w:15: worker old is not active and was skipped
w:17: no such worker: lost
w:19: worker status: not an ajp13 worker
w:20: worker spare is not listed and was skipped
w:21: not a setting: nonsense
"""
    )


def test_apache_balancers_are_converted_and_the_rest_is_reported() -> None:
    report = Report()
    upstreams = apache.read_balancers("h", APACHE, report)
    assert [
        (upstream.name, [(member.host, member.weight, member.secret) for member in upstream.members])
        for upstream in upstreams
    ] == [
        ("declarations", [("10.0.0.1:8010", 2.0, ""), ("10.0.0.2:8009", 1.0, "s3cret")]),
        ("other", [("h:9", 1.0, "")]),
    ]
    assert (
        str(report)
        == """\
h:1: not converted: ProxyRequests Off
h:4: not converted: route=a
h:7: not an AJP member: http://10.0.0.3
h:8: member ajp://10.0.0.4 is not active and was skipped: status=+D
h:9: not a host and port: 10.0.0.5:0
h:10: not converted: ProxySet lbmethod=byrequests
h:12: not a load factor: x
h:12: not converted: path /app
h:13: not converted: path /app
h:14: empty has no usable members
h:14: section is not closed: balancer://empty
"""
    )


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("worker.list=a\nworker.a.reference=worker.b\nworker.b.reference=worker.a\n", "no such template"),
        ("worker.list=a\nworker.a.port=99999\n", "not a host and port"),
        ("worker.list=a b\nworker.a.host=$(who)\n", "unknown variable"),
        ("worker.lb.type=lb\nworker.lb.balance_workers=a\nworker.a.host=h\n", "worker.list is missing"),
        ("worker.list=a/b\nworker.a/b.host=h\n", "not a setting"),
    ],
)
def test_an_invalid_workers_file_is_reported(text: str, message: str) -> None:
    report = Report()
    modjk.read_workers("w", text, report)
    assert message in str(report)


def test_the_command_writes_a_valid_deployment_file(tmp_path: Path) -> None:
    files = {"workers.properties": WORKERS, "httpd.conf": APACHE}
    for name, text in files.items():
        (tmp_path / name).write_text(text)
    completed = subprocess.run(
        [sys.executable, "-m", "saltcart.importer", *(str(tmp_path / name) for name in files)],
        capture_output=True,
        text=True,
        check=False,
    )
    assert completed.returncode == 1 and len(completed.stderr.splitlines()) == 18
    converted = deployment.read_deployment(tomllib.loads(completed.stdout))
    assert [upstream.name for upstream in converted.upstreams] == ["lb", "declarations", "other"]
    assert deployment.read_deployment(tomllib.loads(to_toml(converted.upstreams))) == converted
