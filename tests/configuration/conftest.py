"""Fixtures: the files of the example deployments."""

import pathlib

import pytest

from clementinekeel.configuration import reader

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"


def load(deployment, name):
    text = (EXAMPLES / deployment / name).read_text(encoding="utf-8")
    return reader.Source(name, text)


@pytest.fixture(params=["office", "mill"])
def deployment(request):
    return request.param


@pytest.fixture
def sources(deployment):
    names = ("inventory.ini", "rules.ini")
    return tuple(load(deployment, name) for name in names)


@pytest.fixture
def register(deployment):
    return load(deployment, "assets.csv")
