"""Fills in the settings template of the deploy file as the platform does (DEPLOY.md, Settings of a process)."""

import json
import re

TAG = re.compile(r"\{\{([#^/]?)([^{}|]+)(\|json)?\}\}")


class TemplateError(Exception):
    """The template uses what this renderer or the fields of a stage do not have."""


def render(template, fields, absent=()):
    """Renders values, sections, inverted sections, `{{.}}`, `{{@}}`, `{{,}}` and `|json`.

    The platform renders a field without a value as nothing. Here such a field must be named in `absent`: else a section that the
    deploy file has got since a stage was written would be left out in silence, and the stage would play other settings than a
    deployment.

    @param fields nested tables
    @param absent dotted names of the fields that are known to have no value in this stage
    """
    tokens, position = [], 0
    for match in TAG.finditer(template):
        tokens += [("text", template[position:match.start()], False), (match[1] or "value", match[2], bool(match[3]))]
        position = match.end()
    tokens.append(("text", template[position:], False))
    for kind, text, _ in tokens:
        if kind == "text" and "{{" in text:
            raise TemplateError(f"cannot render {text[text.index('{{'):][:60]!r}")
    result, end = _rendered(tokens, 0, None, [{"fields": fields}], absent)
    assert end == len(tokens)
    return result


def _resolve(name, scopes, absent):
    """@returns the value of a name, looked up in the innermost entry first, or None if it is known to have none"""
    if name == ".":
        return scopes[-1]["fields"]
    if name in ("@", ","):
        if name not in scopes[-1]:
            raise TemplateError(f"{{{{{name}}}}} stands outside a section")
        return scopes[-1][name]
    for scope in reversed(scopes):
        value, found = scope["fields"], True
        for part in name.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            else:
                found = False
                break
        if found:
            return value
    if name not in absent:
        raise TemplateError(f"the template uses the field {name!r}, for which this stage has no value")
    return None


def _text(value, as_json):
    if as_json or isinstance(value, dict):
        return json.dumps(value)
    if value is None:
        return ""
    if isinstance(value, bool):
        return str(value).lower()
    return ",".join(_text(entry, False) for entry in value) if isinstance(value, list) else str(value)


def _entries(value, scopes):
    """@returns one scope for each time that a section is rendered"""
    if isinstance(value, dict):
        pairs = list(value.items())
    elif isinstance(value, list):
        pairs = list(enumerate(value))
    else:
        return [{"fields": scopes[-1]["fields"]}] if value is not None and value is not False else []
    return [{"fields": entry, "@": key, ",": "," if index + 1 < len(pairs) else ""} for index, (key, entry) in enumerate(pairs)]


def _rendered(tokens, begin, section, scopes, absent):
    """@returns the text from `begin` up to the end of a section (None: of the template), and the index of that end"""
    parts, at = [], begin
    while at < len(tokens):
        kind, name, as_json = tokens[at]
        if kind == "text":
            parts.append(name)
        elif kind == "value":
            parts.append(_text(_resolve(name, scopes, absent), as_json))
        elif kind == "/":
            if name != section:
                raise TemplateError(f"the section {name!r} ends where {section!r} is open")
            return "".join(parts), at
        else:
            value = _resolve(name, scopes, absent)
            entries = _entries(value, scopes)
            if kind == "^":
                entries = [] if entries else [{"fields": scopes[-1]["fields"]}]
            end = None
            for entry in entries:
                text, end = _rendered(tokens, at + 1, name, scopes + [entry], absent)
                parts.append(text)
            at = end if end is not None else _section_end(tokens, at)
        at += 1
    if section is not None:
        raise TemplateError(f"the section {section!r} does not end")
    return "".join(parts), at


def _section_end(tokens, begin):
    """@returns the index of the end of a section that is not rendered"""
    open_sections = []
    for at in range(begin, len(tokens)):
        kind, name, _ = tokens[at]
        if kind in ("#", "^"):
            open_sections.append(name)
        elif kind == "/" and (not open_sections or open_sections.pop() != name):
            raise TemplateError(f"the section {name!r} is not open where it ends")
        if not open_sections:
            return at
    raise TemplateError(f"the section {tokens[begin][1]!r} does not end")
