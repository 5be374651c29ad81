"""Rules and orders of nodes that missed a restore of the store."""

from bamboocove.coordination.order_numbers import make_order_number
from bamboocove.state.mesh import MoveOrder
from tests.sidecar.test_error_rollback import make_controller

LOST, AGAIN, REPEATED = 12, make_order_number(1, 11), make_order_number(1, 15)


def order(to_version, number):
    return MoveOrder("a", to_version, 9.0, number)


def decide(node):
    node._decide(node.rule_table.get("a"), "rolled_back", "test", 0.0)


def test_node_that_was_cut_off_carries_a_repeated_order_out():
    """Guards against a repetition that is taken for the order before the restore.

    The wrong state would then end the move on all nodes.
    """
    here, cut_off = make_controller(), make_controller()
    for node in here, cut_off:
        node.apply_order(order("v2", LOST), 0.0)
        decide(node)
    here.apply_order(order("v2", AGAIN), 0.0)
    assert here.rule_table.get("a").state == "rolled_back"
    here.apply_order(order("v2", REPEATED), 0.0)
    for sender, receiver in (here, cut_off), (cut_off, here):
        receiver.apply_rules_message(sender.make_rules_message(), 0.0)
    for node in here, cut_off:
        rule = node.rule_table.get("a")
        assert (rule.order_revision, rule.state) == (REPEATED, "running")


def test_rule_of_the_order_before_a_repetition_does_not_end_the_move():
    """Guards against a late decision from before the restore."""
    here, late = make_controller(), make_controller()
    for node in here, late:
        node.apply_order(order("v2", LOST), 0.0)
    here.apply_order(order("v2", AGAIN), 0.0)
    here.apply_order(order("v2", REPEATED), 0.0)
    decide(late)
    here.apply_rules_message(late.make_rules_message(), 0.0)
    assert here.rule_table.get("a").state == "running"


def test_order_takes_over_the_number_of_its_rule():
    """Guards against an order with the number of an earlier era that is sent on."""
    here, other = make_controller(), make_controller()
    for node in here, other:
        node.apply_order(order("v2", LOST), 0.0)
    other.apply_order(order("v2", AGAIN), 0.0)
    other.rule_table.confirmed_by_service["a"] = other.rule_table.get("a")
    message = other.make_rules_message()
    message.orders.clear()
    here.apply_rules_message(message, 0.0)
    assert here.rule_table.orders_by_service["a"].revision == AGAIN
