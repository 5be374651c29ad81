from bamboocove.errors import ERROR_RESPONSES, ErrorKind, ErrorResult


def test_every_kind_has_a_response():
    assert set(ERROR_RESPONSES) == set(ErrorKind)


def test_kinds_after_dispatch_report_an_unknown_outcome():
    """Guards against a caller that resends a payment which may have run."""
    for kind in (
        ErrorKind.UPSTREAM_LOST,
        ErrorKind.DEADLINE_AFTER_DISPATCH,
        ErrorKind.KEY_IN_PROGRESS,
        ErrorKind.CANCELLED,
    ):
        assert ERROR_RESPONSES[kind].run == "unknown"


def test_error_results_are_falsy():
    assert not ErrorResult(ErrorKind.STALE, "old")
