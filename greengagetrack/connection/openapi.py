"""The OpenAPI description of the administration API, from its types."""

import msgspec

import greengagetrack

OPENAPI_VERSION = "3.1.0"


class Operation(msgspec.Struct, frozen=True):
    """One path of the API and the type of its response."""

    path: str
    summary: str
    response_type: object
    parameter: str = ""


def _get_parameters(operation):
    if not operation.parameter:
        return []
    return [
        {
            "name": operation.parameter,
            "in": "path",
            "required": True,
            "schema": {"type": "string"},
        }
    ]


def new_description(title, operations):
    """Return the OpenAPI document of the operations as a dictionary."""
    schemas, components = msgspec.json.schema_components(
        [operation.response_type for operation in operations],
        ref_template="#/components/schemas/{name}",
    )
    paths = {}
    for operation, schema in zip(operations, schemas):
        response = {
            "description": operation.summary,
            "content": {"application/json": {"schema": schema}},
        }
        paths[operation.path] = {
            "get": {
                "summary": operation.summary,
                "parameters": _get_parameters(operation),
                "responses": {"200": response},
            }
        }
    return {
        "openapi": OPENAPI_VERSION,
        "info": {"title": title, "version": greengagetrack.__version__},
        "paths": paths,
        "components": {"schemas": components},
    }
