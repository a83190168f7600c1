"""``python -m saltcart.importer FILE…`` prints a deployment file, and a report on standard error.

A file whose name ends in ``.properties`` is read as mod_jk's, any other as Apache's.
"""

from __future__ import annotations

import sys
from pathlib import Path

from saltcart.deployment import UpstreamConf
from saltcart.importer import Report, apache, modjk, to_toml


def main(files: list[str]) -> int:
    """Convert the files.

    Returns:
        The exit status: 0 if everything was converted, 1 if something was reported, 2 if a file can't be
        read.
    """
    if not files:
        print("usage: python -m saltcart.importer FILE...", file=sys.stderr)
        return 2
    report, upstreams = Report(), dict[str, UpstreamConf]()
    for file in files:
        try:
            text = Path(file).read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            print(f"{file}: {error}", file=sys.stderr)
            return 2
        reader = modjk.read_workers if file.endswith(".properties") else apache.read_balancers
        for upstream in reader(file, text, report):
            if upstream.name in upstreams:
                report.add(file, 1, f"another upstream named {upstream.name} was skipped")
            else:
                upstreams[upstream.name] = upstream
    sys.stdout.write(to_toml(upstreams.values()))
    sys.stderr.write(str(report))
    return 1 if report.messages else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
