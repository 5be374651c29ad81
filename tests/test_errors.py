from bamboocove.errors import ERROR_RESPONSES, ErrorKind, ErrorResult


def test_every_kind_has_an_answer():
    assert set(ERROR_RESPONSES) == set(ErrorKind)


def test_kinds_after_dispatch_never_claim_that_the_request_was_not_run():
    """Guards against a caller who repeats a payment that may have run."""
    for kind in (
        ErrorKind.UPSTREAM_LOST,
        ErrorKind.DEADLINE_AFTER_DISPATCH,
        ErrorKind.KEY_IN_PROGRESS,
        ErrorKind.CANCELLED,
    ):
        assert ERROR_RESPONSES[kind].run == "unknown"


def test_error_results_are_false():
    assert not ErrorResult(ErrorKind.STALE, "old")
