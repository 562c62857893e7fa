"""Writes the example deployments and the JSON Schemas of their files.

Run ``python -m tools.write_examples`` after a change to the file models or to
the example deployments; a test checks that the generated files are current.
"""

import pathlib

import orjson
from pydantic import TypeAdapter

from almonddock_core.deployment import DataCentresFile, ServiceFile
from almonddock_standins.deployments import (
    build_gulf_south,
    build_kyushu,
    write_files,
)

ROOT = pathlib.Path(__file__).resolve().parent.parent
EXAMPLES = 'examples'
SCHEMAS = 'docs/schema'


def write_examples(root: pathlib.Path) -> None:
    """Writes all generated files below a folder."""
    write_files(build_kyushu(), root / EXAMPLES / 'kyushu')
    write_files(build_gulf_south(), root / EXAMPLES / 'gulf-south')
    schemas = root / SCHEMAS
    schemas.mkdir(parents=True, exist_ok=True)
    for name, node in (
        ('service', ServiceFile),
        ('data-centres', DataCentresFile),
    ):
        schema = TypeAdapter(node).json_schema()
        schema['$schema'] = 'https://json-schema.org/draft/2020-12/schema'
        text = orjson.dumps(schema, option=orjson.OPT_INDENT_2)
        (schemas / f'{name}.json').write_bytes(b'%b\n' % text)


if __name__ == '__main__':
    write_examples(ROOT)
