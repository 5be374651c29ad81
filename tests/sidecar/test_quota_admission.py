"""Requests that wait for a token of their quota."""

from types import SimpleNamespace
from unittest.mock import Mock

from bamboocove.coordination.quota_stock import QuotaStock
from bamboocove.sidecar.quota_admission import QuotaAdmission
from tests.quota_cluster import make_account


def test_exception_in_a_refusal_leaves_no_other_request_open():
    """Guards against requests that stay open until their deadline."""
    account = make_account("a", 1.0, 1.0)
    stock = QuotaStock(0.4)
    stock.use_limits({"a": account}, 0.0)
    client = Mock(stock=stock)
    ended = []

    def respond(request, error, wait_s):
        if request.number == 0:
            raise OSError
        ended.append(request.number)

    admission = QuotaAdmission(
        client,
        lambda: 1.0,
        Mock(),
        respond,
        lambda request: ended.append(request.number),
        lambda: 0.5,
        Mock(),
        Mock(),
        Mock(),
    )
    for number in range(3):
        request = SimpleNamespace(
            account=account, number=number, is_ended=False, token_expires_at=None
        )
        assert not admission.admit(request, Mock())
    admission.settle(["a"], ["a"])
    assert ended == [0, 1, 2]
