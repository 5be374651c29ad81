"""Tests of the parser of the operators' text: results, problems and limits."""

import time
import tracemalloc

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from bamboocove.protocol.text import MAX_PROBLEMS, parse_text
from bamboocove.protocol.text_checks import (
    find_non_idempotent_reads,
    find_past_deadlines,
)
from bamboocove.protocol.text_document import TextDocument
from bamboocove.protocol.text_source import (
    MAX_NODES,
    MAX_TEXT_BYTES,
    TextProblem,
)
from tests.protocol.bad_texts import BAD_TEXTS, GOOD, make_route, make_text


def test_valid_text_is_parsed_with_defaults():
    """Guards against wrong values or defaults for fields that a text omits."""
    document = parse_text(GOOD.encode())
    orders = document.services_by_name["orders"]
    read, confirm = orders.routes
    assert document.tenant == "kozje-mleko"
    assert orders.depends_on == ("ledger",)
    assert (read.request_class, read.timeout_s, read.idempotent) == (
        "prompt",
        0.3,
        True,
    )
    assert (confirm.request_class, confirm.timeout_s) == ("normal", 2.0)
    # POST is not idempotent by default: running it twice could pay twice.
    assert confirm.idempotent is False
    # A version that looks like a number keeps its trailing zero.
    assert document.services_by_name["ledger"].version == "1.10"
    assert [move.move_id for move in document.moves] == ["orders-v2-20261205T0500"]


@pytest.mark.parametrize("name", BAD_TEXTS)
def test_bad_text_is_refused_at_the_offending_word(name):
    """Guards against accepted errors, and against a wrong position or remedy."""
    data, (line, column, word, message, remedy) = BAD_TEXTS[name]
    problems = parse_text(data)
    assert isinstance(problems, list)
    (problem,) = problems
    assert (problem.line, problem.column, problem.word) == (line, column, word)
    assert message in problem.message
    assert remedy in problem.remedy


def test_all_problems_are_reported_at_once_and_in_order():
    """Guards against a parser that stops at the first problem."""
    data = make_text(
        "a: {version: v/1, depends_on: [x], rutes: {}}\n  b: {}",
        "[{service: c, to: v2, by: never}]",
    )
    problems = parse_text(data)
    assert [problem.line for problem in problems] == [3, 3, 3, 4, 5, 5]


def test_number_of_problems_is_bounded():
    """Guards against an unbounded report on a generated text with many errors."""
    services = "\n  ".join(f"s{i}: {{version: v1, rutes: 1}}" for i in range(1000))
    problems = parse_text(make_text(services))
    assert len(problems) == MAX_PROBLEMS + 1
    assert problems[-1].message == "800 more problems follow"


def test_one_service_may_call_its_own_routes():
    """Guards against reporting a cycle for calls between routes of one service."""
    document = parse_text(
        make_text(
            "billing: {version: v1, routes: {invoices: {path: /invoices, "
            "depends_on: [billing/tax]}, tax: {path: /tax}}}"
        )
    )
    assert document.services_by_name["billing"].depends_on == ()


def test_chain_that_passes_a_service_twice_on_different_routes_is_no_cycle():
    """Guards against cycle detection that ignores which routes are called."""
    document = parse_text(
        make_text(
            "a: {version: v1, routes: {r: {path: /r, depends_on: [b]}, "
            "q: {path: /q}}}\n"
            "  b: {version: v1, depends_on: [a]}"
        )
    )
    # b may call any route of a, including the one that calls b.
    assert isinstance(document, list)
    document = parse_text(
        make_text(
            "a: {version: v1, routes: {r: {path: /r, depends_on: [b]}, "
            "q: {path: /q}}}\n"
            "  b: {version: v1, routes: {s: {path: /s, depends_on: [a/q]}}}"
        )
    )
    assert document.services_by_name["b"].depends_on == ("a",)


def test_diamond_of_dependencies_is_no_cycle():
    """Guards against reporting a cycle when two paths lead to one service."""
    services = (
        "a: {version: v1, depends_on: [b, c]}\n  b: {version: v1, depends_on: [d]}\n"
        "  c: {version: v1, depends_on: [d]}\n  d: {version: v1}"
    )
    assert isinstance(parse_text(make_text(services)), TextDocument)


def test_long_chain_of_services_does_not_exhaust_the_stack():
    """Guards against recursion in cycle detection."""
    services = "\n  ".join(
        f"s{i}: {{version: v1, depends_on: [s{i + 1}]}}" for i in range(5000)
    )
    services += "\n  s5000: {version: v1, depends_on: [s0]}"
    (problem,) = parse_text(make_text(services))
    assert "s0 -> s1" in problem.message


def test_byte_order_mark_at_the_start_is_accepted():
    """Guards against rejecting files of editors that write a byte order mark."""
    assert parse_text(b"\xef\xbb\xbf" + GOOD.encode()) == parse_text(GOOD.encode())


@pytest.mark.parametrize(
    "data", [b"a: b\n" * 12_000_000, b"\x00" * (MAX_TEXT_BYTES + 1)]
)
def test_oversized_text_is_refused_before_it_is_parsed(data):
    """Guards against time and memory spent on a text above the size limit."""
    tracemalloc.start()
    started = time.perf_counter()
    (problem,) = parse_text(data)
    elapsed = time.perf_counter() - started
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert "more than 4194304" in problem.message
    assert elapsed < 0.1
    assert peak < 100_000


@pytest.mark.parametrize(
    ("data", "message"),
    [
        (b"[" + b"a," * 2_000_000 + b"]", f"more than {MAX_NODES} values"),
        (b"[" * 4_000_000, "nested"),
        (b"- " * 2_000_000, "nested"),
    ],
)
def test_dense_text_below_the_size_limit_takes_little_memory(data, message):
    """Guards against running out of memory on a small but dense text.

    A tree of 2 million nodes would take gigabytes on a host of the mesh.
    """
    tracemalloc.start()
    (problem,) = parse_text(data)
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert message in problem.message
    assert peak < 40_000_000


WORDS_TO_LENGTHEN = [
    name
    for name, (data, (_, _, word, *_)) in BAD_TEXTS.items()
    if word.isalnum() and data.count(word.encode()) == 1
]


@pytest.mark.parametrize("name", WORDS_TO_LENGTHEN)
def test_message_does_not_grow_with_the_offending_word(name):
    """Guards against messages that fill the terminal or send escapes to it.

    The test uses long words with escape sequences. YAML allows 1024 characters
    for a key without a question mark.
    """
    data, (_, _, word, *_) = BAD_TEXTS[name]
    long = b'"%s"' % (word.encode() + b"\\e[1m" + b"x" * 900)
    for problem in parse_text(data.replace(word.encode(), long)):
        assert len(str(problem)) < 400
        assert str(problem).isprintable()


def test_past_deadline_is_found_unless_the_move_has_ended():
    """Guards against missed deadlines, and against errors on ended moves."""
    moves = parse_text(GOOD.encode()).moves
    deadline = moves[0].deadline
    assert find_past_deadlines(moves, deadline - 1) == []
    (problem,) = find_past_deadlines(moves, deadline)
    assert (problem.line, problem.column) == (13, 9)
    assert "in the past" in problem.message
    assert find_past_deadlines(moves, deadline, {moves[0].move_id}) == []


def test_read_method_on_a_non_idempotent_route_gives_a_warning():
    """Guards against reads that are refused for a missing idempotency key."""
    document = parse_text(make_route("{path: /x, methods: [GET, POST]}"))
    (warning,) = find_non_idempotent_reads(document)
    assert "a/r" in warning
    assert "GET" in warning


WORDS = st.sampled_from(
    "tenant services version depends_on routes moves service to by path methods "
    "class timeout a b v1 /x GET 300ms 2026-12-05T06:00:00Z : , { } [ ] - & * ! | > "
    "' \" # % @ ` ~ ? << null true --- ...".split()
    + ["\n", "\n  ", " ", "\t", "\r", "\u2028", "\x85", "é", "\ufeff"]
)


def check_result(data):
    result = parse_text(data)
    if isinstance(result, TextDocument):
        return
    assert result
    for problem in result:
        assert isinstance(problem, TextProblem)
        assert problem.line >= 1
        assert problem.column >= 1
        assert problem.message
        assert problem.remedy
        assert "\n" not in str(problem)


@settings(derandomize=True, max_examples=500, deadline=None)
@given(st.binary(max_size=200))
@example(b"%YAML 9.9\n--- a")
@example(b"? [a]\n: b")
@example(b"- !<tag:yaml.org,2002:int> x")
def test_no_bytes_make_the_parser_raise(data):
    """Guards against exceptions on arbitrary bytes."""
    check_result(data)


@settings(derandomize=True, max_examples=1000, deadline=None)
@given(st.lists(WORDS, max_size=60))
def test_no_words_make_the_parser_raise(words):
    """Guards against exceptions on arbitrary sequences of YAML tokens."""
    check_result("".join(words).encode())


@settings(derandomize=True, max_examples=1000, deadline=None)
@given(st.integers(0, len(GOOD) - 1), st.integers(0, 20), st.lists(WORDS, max_size=4))
def test_no_edit_of_a_good_text_makes_the_parser_raise(start, length, words):
    """Guards against exceptions on a valid text with one arbitrary edit."""
    text = GOOD[:start] + "".join(words) + GOOD[start + length :]
    check_result(text.encode())
