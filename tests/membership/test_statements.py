"""Statements of backend servers to whose nodes links were lost."""

from clementinekeel.membership import statements

NOW = 100.0
FIRST = statements.Incarnation("e-1", 1)
LIMITED = statements.Statement(5.0, False)
UNLIMITED = statements.Statement(None, False)


def test_statement_is_recalled_for_its_incarnation_only():
    """A new backend server under the same name has stated nothing."""
    memory = statements.StatementMemory()
    memory.record(FIRST, LIMITED, NOW)
    assert memory.recall(FIRST, NOW + 5) == LIMITED
    assert memory.recall(FIRST._replace(started_ms=2), NOW + 5) is None


def test_ended_limit_is_not_recalled():
    memory = statements.StatementMemory()
    memory.record(FIRST, LIMITED, NOW)
    memory.record(FIRST, UNLIMITED, NOW + 1)
    assert memory.recall(FIRST, NOW + 1) is None


def test_statements_of_nodes_that_never_return_are_forgotten():
    """With 1,900 nodes replaced a day, they would fill the memory."""
    memory = statements.StatementMemory()
    for number in range(100):
        incarnation = statements.Incarnation(f"e-{number}", 1)
        memory.record(incarnation, LIMITED, NOW + number)
    now = NOW + 99 + statements.MEMORY_S
    memory.record(FIRST._replace(endpoint="e-new"), LIMITED, now)
    assert len(memory._recorded) == 2
