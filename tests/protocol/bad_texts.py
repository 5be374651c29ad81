"""Valid and invalid texts of ``tests/texts``, with the expected problem of each."""

from pathlib import Path

import yaml

TEXTS = Path(__file__).parent.parent / "texts"
GOOD = (TEXTS / "good.yaml").read_text(encoding="utf-8")


def make_text(services="a: {version: v1}", moves="[]"):
    return f"tenant: t\nservices:\n  {services}\nmoves: {moves}\n".encode()


def make_route(route):
    return make_text(f"a: {{version: v1, routes: {{r: {route}}}}}")


def read_bad_texts():
    index = yaml.safe_load((TEXTS / "index.yml").read_text(encoding="utf-8"))
    keys = ("line", "column", "word", "message", "remedy")
    return {
        name: (
            (TEXTS / entry["file"]).read_bytes(),
            tuple(entry[key] for key in keys),
        )
        for name, entry in index.items()
    }


BAD_TEXTS = read_bad_texts()
