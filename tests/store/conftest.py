"""Options of the store's tests."""


def pytest_addoption(parser):
    parser.addoption(
        "--store-url",
        default=None,
        help="run the contract tests of the store against this service",
    )
