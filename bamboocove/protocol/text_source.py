"""From bytes to a YAML node tree, with limits and positions of problems."""

import re

import yaml
from attrs import frozen

MAX_TEXT_BYTES = 4 * 1024 * 1024
# A node of the tree takes about 1 KiB, so the tree stays below 128 MB.
MAX_NODES = 100_000
# The text needs 6 levels; composing recurses once for each level.
MAX_DEPTH = 16
MAX_WORD = 40
TOO_DEEP = f"text is nested more than {MAX_DEPTH} levels deep"

# The characters that YAML does not allow unescaped, and the byte order mark.
_NOT_ALLOWED = re.compile(
    "[\x00-\x08\x0b\x0c\x0e-\x1f\x7f\x80-\x84\x86-\x9f\ufeff\ufffe\uffff]"
)
_WORD = re.compile(r"[^\s,\[\]{}#]+|\S")

_Loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


@frozen
class TextProblem:
    """One problem of the operators' text.

    Parameters
    ----------
    line, column : int
        Position, both counted from 1.
    word : str
        The offending word; may be empty.
    message : str
        What is wrong.
    remedy : str
        What to write instead.
    """

    line: int
    column: int
    word: str
    message: str
    remedy: str

    def __str__(self) -> str:
        return f"{self.line}:{self.column}: {self.message}; {self.remedy}"


def shorten(word: str) -> str:
    r"""Return a word for a message, on one line and of bounded length.

    Characters that a terminal could act on are escaped.

    Examples
    --------
    >>> shorten("a" * 50) == "a" * 40 + "..."
    True
    >>> shorten("a\x1b[1mb")
    'a\\x1b[1mb'
    """
    word = word[: MAX_WORD + 1]
    if not (word.isascii() and word.isprintable()):
        word = word.encode("unicode_escape").decode("ascii")
    return word if len(word) <= MAX_WORD else word[:MAX_WORD] + "..."


def make_problem(
    node: yaml.Node, message: str, remedy: str, word: str | None = None
) -> TextProblem:
    """Return a problem at the start of a node.

    Parameters
    ----------
    node : yaml.Node
        Where it is.
    message, remedy : str
        What is wrong and what to do.
    word : str, optional
        The offending word; the text of a scalar node if not given.
    """
    if word is None:
        word = node.value if isinstance(node, yaml.ScalarNode) else ""
    mark = node.start_mark
    return TextProblem(mark.line + 1, mark.column + 1, shorten(word), message, remedy)


def _locate(text: str, index: int) -> tuple[int, int]:
    line_start = text.rfind("\n", 0, index) + 1
    return text.count("\n", 0, index) + 1, index - line_start + 1


def _make_problem_at(text: str, index: int, message: str, remedy: str) -> TextProblem:
    line, column = _locate(text, index)
    word = _WORD.match(text, index)
    return TextProblem(
        line, column, shorten(word.group()) if word else "", message, remedy
    )


def decode_text(data: bytes) -> str | TextProblem:
    """Decode the bytes of a text, after checking their number.

    A byte order mark at the start is accepted and removed: some editors write
    it and it changes no meaning.
    """
    if len(data) > MAX_TEXT_BYTES:
        return make_size_problem(len(data))
    if data.startswith((b"\xff\xfe", b"\xfe\xff")):
        return TextProblem(1, 1, "", "text is UTF-16", "save the file as UTF-8")
    try:
        text = data.decode("utf-8")
    except UnicodeDecodeError as error:
        before = data[: error.start].decode("utf-8")
        line, column = _locate(before, len(before))
        word = f"\\x{data[error.start]:02x}"
        return TextProblem(
            line, column, word, f"byte {word} is not UTF-8", "save the file as UTF-8"
        )
    text = text.removeprefix("\ufeff")
    found = _NOT_ALLOWED.search(text)
    if found is not None:
        line, column = _locate(text, found.start())
        word = f"U+{ord(found.group()):04X}"
        message = f"control character {word} is not allowed"
        return TextProblem(line, column, word, message, "delete the character")
    return text


def make_size_problem(size: int) -> TextProblem:
    """Return the problem of a text of too many bytes."""
    return TextProblem(
        1,
        1,
        "",
        f"text has {size} bytes, more than {MAX_TEXT_BYTES}",
        "split the deployment or remove generated parts",
    )


def _check_events(text: str) -> TextProblem | None:
    """Find what must not reach the composer, without building a tree."""
    depth = nodes = documents = 0
    for event in yaml.parse(text, Loader=_Loader):
        index = event.start_mark.index
        if isinstance(event, yaml.DocumentStartEvent):
            documents += 1
            if documents > 1:
                message = "a second YAML document starts here"
                return _make_problem_at(
                    text, index, message, "keep one document in the file"
                )
        if isinstance(event, yaml.AliasEvent):
            message = f"alias *{shorten(event.anchor)} is not supported"
            return _make_problem_at(text, index, message, "write the value out")
        if not isinstance(event, yaml.NodeEvent):
            if isinstance(event, yaml.CollectionEndEvent):
                depth -= 1
            continue
        if event.anchor is not None:
            message = f"anchor &{shorten(event.anchor)} is not supported"
            return _make_problem_at(
                text, index, message, "remove it and write the value out"
            )
        if event.tag is not None:
            message = f"tag {shorten(event.tag)} is not supported"
            return _make_problem_at(text, index, message, "remove the tag")
        nodes += 1
        if nodes > MAX_NODES:
            message = f"text has more than {MAX_NODES} values"
            return _make_problem_at(text, index, message, "split the deployment")
        if isinstance(event, yaml.CollectionStartEvent):
            depth += 1
            if depth > MAX_DEPTH:
                return _make_problem_at(
                    text, index, TOO_DEEP, "compare with docs/text.md"
                )
    return None


def _describe_yaml_error(text: str, error: yaml.YAMLError) -> TextProblem:
    mark = getattr(error, "problem_mark", None) or getattr(error, "context_mark", None)
    detail = getattr(error, "problem", None) or str(error).splitlines()[0]
    message = f"not valid YAML: {detail}"
    remedy = "check indentation, quotes and brackets here"
    # libyaml has a limit of its own, which it can reach before the first event.
    if "nesting" in detail:
        message, remedy = TOO_DEEP, "compare with docs/text.md"
    if mark is None:
        return TextProblem(1, 1, "", message, remedy)
    word = _WORD.match(text, mark.index) if mark.index <= len(text) else None
    return TextProblem(
        mark.line + 1,
        mark.column + 1,
        shorten(word.group()) if word else "",
        message,
        remedy,
    )


def compose_text(data: bytes) -> yaml.MappingNode | TextProblem:
    """Return the node tree of a text.

    Parameters
    ----------
    data : bytes
        The text as it was sent or read from a file.

    Returns
    -------
    node : yaml.MappingNode or TextProblem
        The problem that keeps the text from being read any further. The tree
        has no aliases, anchors or tags, and bounded depth and size.
    """
    text = decode_text(data)
    if isinstance(text, TextProblem):
        return text
    try:
        problem = _check_events(text)
        node = None if problem else yaml.compose(text, Loader=_Loader)
    except yaml.YAMLError as error:
        return _describe_yaml_error(text, error)
    if problem is not None:
        return problem
    if node is None or (isinstance(node, yaml.ScalarNode) and not node.value):
        remedy = "write tenant, services and moves; see docs/text.md"
        return TextProblem(1, 1, "", "text is empty", remedy)
    if not isinstance(node, yaml.MappingNode):
        remedy = "start with tenant: and services:"
        return make_problem(node, "text is not a mapping", remedy)
    return node
