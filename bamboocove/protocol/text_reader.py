"""Reads nodes of the operators' text and collects the problems found."""

from collections.abc import Callable, Collection, Iterator
from typing import Any

import yaml
from attrs import define, field

from bamboocove.protocol.text_source import TextProblem, make_problem, shorten
from bamboocove.protocol.text_values import BadWord, suggest

# A suggestion compares the word with every known name.
MAX_SUGGESTIONS = 20
MAX_SUGGESTION_NAMES = 2000

NULL_TAG = "tag:yaml.org,2002:null"
_KINDS = {yaml.ScalarNode: "a word", yaml.SequenceNode: "a list"}


def _describe_kind(node: yaml.Node) -> str:
    return _KINDS.get(type(node), "a mapping")


@define
class Reader:
    """Problems found so far, and the helpers that add to them.

    Parameters
    ----------
    problems : list of TextProblem
        In the order in which they were found.
    suggestions : int
        Suggestions made so far.
    """

    problems: list[TextProblem] = field(factory=list)
    suggestions: int = 0

    def add(
        self, node: yaml.Node, message: str, remedy: str, word: str | None = None
    ) -> None:
        """Add a problem at the start of a node."""
        self.problems.append(make_problem(node, message, remedy, word))

    def suggest(self, word: str, known: Collection[str], otherwise: str) -> str:
        """Return a remedy that names the nearest known word, if it is near."""
        self.suggestions += 1
        if self.suggestions > MAX_SUGGESTIONS or len(known) > MAX_SUGGESTION_NAMES:
            return otherwise
        return suggest(word, known, otherwise)

    def read_word(
        self, node: yaml.Node, what: str, check: Callable[[str], Any]
    ) -> Any | None:
        """Return the checked value of a scalar, or None after a problem."""
        if not isinstance(node, yaml.ScalarNode):
            kind = _describe_kind(node)
            self.add(node, f"{what} is {kind}, not a word", "write one word")
            return None
        if node.tag == NULL_TAG:
            self.add(node, f"{what} is empty", "write a value or remove the line")
            return None
        value = check(node.value)
        if isinstance(value, BadWord):
            self.add(node, f"{what}: {value.message}", value.remedy)
            return None
        return value

    def read_list(self, node: yaml.Node, what: str) -> list[yaml.Node]:
        """Return the items of a sequence; none after a problem."""
        if isinstance(node, yaml.SequenceNode):
            return node.value
        kind = _describe_kind(node)
        self.add(node, f"{what} is {kind}, not a list", "write it as [a, b]")
        return []

    def read_pairs(
        self, node: yaml.Node, what: str
    ) -> Iterator[tuple[yaml.ScalarNode, yaml.Node]]:
        """Yield keys and values of a mapping, without duplicate keys."""
        if not isinstance(node, yaml.MappingNode):
            kind = _describe_kind(node)
            remedy = "write key: value pairs, indented"
            self.add(node, f"{what} is {kind}, not a mapping", remedy)
            return
        lines_by_key = {}
        for key, value in node.value:
            if not isinstance(key, yaml.ScalarNode):
                self.add(key, f"key in {what} is not a word", "write one word")
                continue
            if key.value in lines_by_key:
                line = lines_by_key[key.value]
                message = f"{shorten(key.value)!r} is already in {what}, at line {line}"
                self.add(key, message, "rename or remove one of them")
                continue
            lines_by_key[key.value] = key.start_mark.line + 1
            yield key, value

    def read_fields(
        self, node: yaml.Node, what: str, known: tuple[str, ...], required: int
    ) -> dict[str, yaml.Node]:
        """Return the values of known fields; the first ones are required."""
        values = {}
        for key, value in self.read_pairs(node, what):
            if key.value in known:
                values[key.value] = value
                continue
            remedy = f"use one of {', '.join(known)}"
            remedy = self.suggest(key.value, known, remedy)
            self.add(key, f"unknown field {shorten(key.value)!r} in {what}", remedy)
        if isinstance(node, yaml.MappingNode):
            for name in known[:required]:
                if name not in values:
                    self.add(node, f"{what} has no {name}", f"add {name}:", name)
        return values
