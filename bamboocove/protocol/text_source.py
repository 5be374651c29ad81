"""Decoding of the operators' text into a YAML node tree of limited size."""

import re

import yaml
from attrs import frozen

MAX_TEXT_BYTES = 4 * 1024 * 1024
# A node takes about 1 KiB, so the tree takes less than 128 MB.
MAX_NODES = 100_000
# A valid text needs 6 levels. The limit bounds the recursion of the composer,
# which recurses once for each level.
MAX_DEPTH = 16
MAX_WORD_LENGTH = 40
TOO_DEEP_MESSAGE = f"text is nested more than {MAX_DEPTH} levels deep"

# Characters that YAML does not allow unescaped, and the byte order mark.
_FORBIDDEN_CHARACTER = re.compile(
    "[\x00-\x08\x0b\x0c\x0e-\x1f\x7f\x80-\x84\x86-\x9f\ufeff\ufffe\uffff]"
)
_WORD = re.compile(r"[^\s,\[\]{}#]+|\S")

_Loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


@frozen
class TextProblem:
    """A problem in the operators' text, with its position and a remedy.

    Parameters
    ----------
    line, column : int
        Position, both counted from 1.
    word : str
        The offending word; may be empty.
    message : str
        Description of the problem.
    remedy : str
        Suggested correction.
    """

    line: int
    column: int
    word: str
    message: str
    remedy: str

    def __str__(self) -> str:
        return f"{self.line}:{self.column}: {self.message}; {self.remedy}"


def shorten(word: str) -> str:
    r"""Return a word as shown in messages: on one line, of limited length.

    Control characters, which a terminal could interpret, are escaped, and so
    are characters outside ASCII.

    Examples
    --------
    >>> shorten("a" * 50) == "a" * 40 + "..."
    True
    >>> shorten("a\x1b[1mb")
    'a\\x1b[1mb'
    """
    word = word[: MAX_WORD_LENGTH + 1]
    if not (word.isascii() and word.isprintable()):
        word = word.encode("unicode_escape").decode("ascii")
    return word if len(word) <= MAX_WORD_LENGTH else word[:MAX_WORD_LENGTH] + "..."


def make_problem(
    node: yaml.Node, message: str, remedy: str, word: str | None = None
) -> TextProblem:
    """Return a problem at the start of a node.

    Parameters
    ----------
    node : yaml.Node
        Node at which the problem is reported.
    message, remedy : str
        Description of the problem, and the suggested correction.
    word : str, optional
        The offending word; by default the text of a scalar node.
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
    """Decode the bytes of a text as UTF-8, after checking their size.

    A byte order mark at the start is accepted and removed, because some editors
    write it and it does not change the meaning.
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
    match = _FORBIDDEN_CHARACTER.search(text)
    if match is not None:
        line, column = _locate(text, match.start())
        word = f"U+{ord(match.group()):04X}"
        message = f"control character {word} is not allowed"
        return TextProblem(line, column, word, message, "delete the character")
    return text


def make_size_problem(size: int) -> TextProblem:
    """Return the problem that reports a text as too large."""
    return TextProblem(
        1,
        1,
        "",
        f"text has {size} bytes, more than {MAX_TEXT_BYTES}",
        "split the deployment or remove generated parts",
    )


def _check_events(text: str) -> TextProblem | None:
    """Return the first construct that is not supported or exceeds a limit.

    The event stream is checked before a tree is built, so that a hostile text
    takes little memory.
    """
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
                    text, index, TOO_DEEP_MESSAGE, "compare with docs/text.md"
                )
    return None


def _describe_yaml_error(text: str, error: yaml.YAMLError) -> TextProblem:
    mark = getattr(error, "problem_mark", None) or getattr(error, "context_mark", None)
    detail = getattr(error, "problem", None) or str(error).splitlines()[0]
    message = f"not valid YAML: {detail}"
    remedy = "check indentation, quotes and brackets here"
    # libyaml has its own nesting limit, which can fail before the first event.
    if "nesting" in detail:
        message, remedy = TOO_DEEP_MESSAGE, "compare with docs/text.md"
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
    """Parse a text into a YAML node tree.

    Parameters
    ----------
    data : bytes
        The text as received or read from a file.

    Returns
    -------
    node : yaml.MappingNode or TextProblem
        The root of the tree, or the first problem that prevents parsing. The
        tree has no aliases, anchors or tags, and its depth and size are
        limited.
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
