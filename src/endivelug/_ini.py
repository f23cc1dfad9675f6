"""INI parser that records line numbers and reports every malformed line.

``configparser`` stops at the first duplicate or malformed line and discards line
numbers, but the check of the lists reports every problem with its line.
"""

import re
from collections.abc import Iterator
from dataclasses import dataclass, field

_HEADER = re.compile(r"\[([^\]]*)\]\s*(?:[#;].*)?")


@dataclass(slots=True, kw_only=True)
class Section:
    """Values of one section and their line numbers.

    Attributes
    ----------
    line : int
        Line of the header, counted from 1.
    lines : dict of str to int
        Line of each key.
    """

    path: str
    name: str
    line: int
    values: dict[str, str] = field(default_factory=dict)
    lines: dict[str, int] = field(default_factory=dict)

    def line_number(self, key: str) -> int:
        """Return the line of a key, or of the header if the key is missing."""
        return self.lines.get(key, self.line)


def read_sections(text: str, path: str, problems: list[str]) -> Iterator[Section]:
    r"""Yield each section after its last line was read.

    Parameters
    ----------
    text : str
        Content of the file: ``[name]``, ``key = value``, indented continuation
        lines, and comments that start a line with ``#`` or ``;``.
    path : str
        Name of the file in the problems.
    problems : list of str
        List to which malformed lines and duplicates are appended.

    Examples
    --------
    >>> sections = list(read_sections("[a]\nx = 1\n  2\n", "f", []))
    >>> sections[0].values
    {'x': '1\n2'}
    """
    section: Section | None = None
    key = ""
    header_lines: dict[str, int] = {}
    for number, raw in enumerate(text.splitlines(), 1):
        line = raw.strip()
        if not line or line[0] in "#;":
            continue
        if raw[0] in " \t" and key and section is not None:
            section.values[key] += "\n" + line
            continue
        if line[0] == "[":
            header = _HEADER.fullmatch(line)
            if header is None:
                problems.append(f"{path}:{number}: {line!r}; write [name]")
                continue
            if section is not None:
                yield section
            section = Section(path=path, name=header[1].strip(), line=number)
            key = ""
            if section.name in header_lines:
                problems.append(
                    f"{path}:{number}: [{section.name}]; write it once "
                    f"(it is also at line {header_lines[section.name]})"
                )
            header_lines.setdefault(section.name, number)
            continue
        name, separator, value = (part.strip() for part in line.partition("="))
        if not separator or not name or section is None:
            # The line may contain an API key, so only its number is shown.
            problems.append(
                f"{path}:{number}: malformed line; write 'key = value' in a [section]"
            )
            key = ""
            continue
        key = name.lower()
        if key in section.values:
            problems.append(f"{path}:{number}: [{section.name}] {key}; write it once")
        section.values[key] = value
        section.lines[key] = number
    if section is not None:
        yield section
