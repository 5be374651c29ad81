"""Validating reader for YAML nodes, which collects the problems it finds."""

from collections.abc import Callable, Collection, Iterator
from typing import Any

import yaml
from attrs import define, field

from bamboocove.protocol.text_source import TextProblem, make_problem, shorten
from bamboocove.protocol.text_values import InvalidValue, suggest

# Limits on suggestions, because each compares the word with every known name.
MAX_SUGGESTIONS = 20
MAX_SUGGESTION_NAMES = 2000

NULL_TAG = "tag:yaml.org,2002:null"
_DESCRIPTION_BY_NODE_TYPE = {yaml.ScalarNode: "a word", yaml.SequenceNode: "a list"}


def _describe_kind(node: yaml.Node) -> str:
    return _DESCRIPTION_BY_NODE_TYPE.get(type(node), "a mapping")


@define
class Reader:
    """Reads YAML nodes and collects the problems found.

    Parameters
    ----------
    problems : list of TextProblem
        Problems in the order in which they were found.
    suggestions : int
        Number of suggestions requested so far.
    """

    problems: list[TextProblem] = field(factory=list)
    suggestions: int = 0

    def add_problem(
        self, node: yaml.Node, message: str, remedy: str, word: str | None = None
    ) -> None:
        """Add a problem at the start of a node."""
        self.problems.append(make_problem(node, message, remedy, word))

    def suggest(self, word: str, known: Collection[str], default_remedy: str) -> str:
        """Return a remedy that names the closest known word, or the default remedy.

        The default is also returned once the limits on suggestions are reached.
        """
        self.suggestions += 1
        if self.suggestions > MAX_SUGGESTIONS or len(known) > MAX_SUGGESTION_NAMES:
            return default_remedy
        return suggest(word, known, default_remedy)

    def read_scalar(
        self, node: yaml.Node, label: str, check: Callable[[str], Any]
    ) -> Any | None:
        """Return the checked value of a scalar, or None after a problem."""
        if not isinstance(node, yaml.ScalarNode):
            kind = _describe_kind(node)
            self.add_problem(node, f"{label} is {kind}, not a word", "write one word")
            return None
        if node.tag == NULL_TAG:
            self.add_problem(
                node, f"{label} is empty", "write a value or remove the line"
            )
            return None
        value = check(node.value)
        if isinstance(value, InvalidValue):
            self.add_problem(node, f"{label}: {value.message}", value.remedy)
            return None
        return value

    def read_list(self, node: yaml.Node, label: str) -> list[yaml.Node]:
        """Return the items of a sequence, or an empty list after a problem."""
        if isinstance(node, yaml.SequenceNode):
            return node.value
        kind = _describe_kind(node)
        self.add_problem(node, f"{label} is {kind}, not a list", "write it as [a, b]")
        return []

    def read_pairs(
        self, node: yaml.Node, label: str
    ) -> Iterator[tuple[yaml.ScalarNode, yaml.Node]]:
        """Yield the keys and values of a mapping; report and skip duplicate keys."""
        if not isinstance(node, yaml.MappingNode):
            kind = _describe_kind(node)
            remedy = "write key: value pairs, indented"
            self.add_problem(node, f"{label} is {kind}, not a mapping", remedy)
            return
        lines_by_key = {}
        for key, value in node.value:
            if not isinstance(key, yaml.ScalarNode):
                self.add_problem(key, f"key in {label} is not a word", "write one word")
                continue
            if key.value in lines_by_key:
                line = lines_by_key[key.value]
                message = (
                    f"{shorten(key.value)!r} is already in {label}, at line {line}"
                )
                self.add_problem(key, message, "rename or remove one of them")
                continue
            lines_by_key[key.value] = key.start_mark.line + 1
            yield key, value

    def read_fields(
        self, node: yaml.Node, label: str, known: tuple[str, ...], required: int
    ) -> dict[str, yaml.Node]:
        """Return the value nodes of known fields of a mapping.

        The first ``required`` of the known fields must be present.
        """
        values = {}
        for key, value in self.read_pairs(node, label):
            if key.value in known:
                values[key.value] = value
                continue
            remedy = f"use one of {', '.join(known)}"
            remedy = self.suggest(key.value, known, remedy)
            self.add_problem(
                key, f"unknown field {shorten(key.value)!r} in {label}", remedy
            )
        if isinstance(node, yaml.MappingNode):
            for name in known[:required]:
                if name not in values:
                    self.add_problem(
                        node, f"{label} has no {name}", f"add {name}:", name
                    )
        return values
