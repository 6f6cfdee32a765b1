"""The catalogue of events stands in the docs as in the code."""

import pathlib

from zinniaspoke import events

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "events.md"
SOURCES = pathlib.Path(events.__file__).parent
# The adapter's programs log some of the product's events.
FOLDERS = (SOURCES, SOURCES.parent / "platform")


def test_page_matches_the_code():
    rows = [line for line in PAGE.read_text().splitlines() if line.startswith("| ")][1:]
    expected = [
        f"| {event.number} | {event.name} | {event.meaning} |"
        for _, event in sorted(events.CATALOGUE.items())
    ]
    assert rows == expected
    assert len({event.name for event in events.CATALOGUE.values()}) == len(expected)


def test_every_event_is_logged_somewhere():
    paths = [path for folder in FOLDERS for path in folder.rglob("*.py")]
    text = "".join(path.read_text() for path in paths if path.name != "events.py")
    for name, value in vars(events).items():
        if isinstance(value, events.Event):
            assert f".{name}" in text, name
