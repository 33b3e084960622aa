"""Division of the common extra retries among the nodes."""

from clementinekeel.retries import extra


def test_nodes_that_are_found_later_get_a_part():
    """The division once kept the number of nodes known at the start."""
    retries = extra.ExtraRetries(40, 10, started_at=0)
    assert retries.part(20, known_nodes=1) == 40
    assert retries.part(20, known_nodes=80) == 0.5


def test_node_that_is_cut_off_does_not_use_the_part_of_the_others():
    retries = extra.ExtraRetries(40, 10, started_at=0)
    retries.part(20, known_nodes=80)
    assert retries.part(20, known_nodes=1) == 0.5


def test_node_without_a_list_of_nodes_has_no_extra_retries():
    """Nodes that start while the store is down can't tell how many share."""
    retries = extra.ExtraRetries(40, 10, started_at=0)
    assert retries.part(20, known_nodes=0) == 0


def test_incarnations_together_have_the_extra_retries_of_one_more():
    """Each of several restarts in a window once renewed all of them."""
    restarts = (0, 3, 5, 9, 10)
    ends = (*restarts[1:], 10)
    used = sum(
        extra.ExtraRetries(40, 10, started_at).part(ended_at, 1)
        for started_at, ended_at in zip(restarts, ends, strict=True)
    )
    assert used == 40
