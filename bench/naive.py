"""The baseline for comparisons: a round-robin router without limits.

It retries every failed call, and has the same callers, backend servers
and network delays as greengagetrack.
"""

import itertools

import msgspec
import trio

from bench import deployment as deployment_module
from bench import fakes
from greengagetrack.connection.backend import base
from greengagetrack.request import outcome
from greengagetrack.request import pipeline as pipeline_module

MAX_ATTEMPTS = 3
LOCAL_DELAY_S = 0.001


class NaiveRequest(msgspec.Struct, frozen=True):
    """The fields of a request that the naive router uses."""

    pipeline: str
    organisation: str
    body: bytes


class NaiveRouter:
    """Sends each stage to the next backend server of its service."""

    def __init__(self, cluster, region):
        self._cluster = cluster
        self._region = region
        self._counter_by_service = {}
        self._call_numbers = itertools.count(1)
        self.cut_regions = set()

    def _get_next_backend(self, stage):
        """Return the next listed backend server with the model, or None."""
        specs = [
            spec
            for spec in deployment_module.get_backends(
                self._cluster.deployment
            )
            if spec.service.name == stage.service
            and self._is_listed(spec)
            and self._has_model(spec, stage)
        ]
        if not specs:
            return None
        counter = self._counter_by_service.setdefault(
            stage.service, itertools.count()
        )
        return specs[next(counter) % len(specs)]

    def _is_listed(self, spec):
        return f"{spec.name}-agent" in self._cluster.node_by_name

    def _has_model(self, spec, stage):
        server = self._cluster.server_by_name[spec.name]
        return stage.model in ("", server.model)

    async def serve(self, request, on_tokens):
        """Return the outcome of a request; calls are never cancelled."""
        pipeline = self._cluster.table.pipeline_by_name[request.pipeline]
        previous = b"null"
        for stage in pipeline.stage:
            result = await self._run_stage(request, stage, previous, on_tokens)
            if result is None:
                return outcome.Unknown(outcome.Reason.BACKEND_FAILED)
            previous = result
        return outcome.Whole(previous)

    async def _run_stage(self, request, stage, previous, on_tokens):
        for _attempt in range(MAX_ATTEMPTS):
            spec = self._get_next_backend(stage)
            if spec is None:
                return None
            output = await self._call(spec, request, stage, previous)
            if output is not None:
                result, tokens = output
                if stage.max_tokens:
                    on_tokens(0, tokens)
                return result
        return None

    async def _call(self, spec, request, stage, previous):
        """Return `(result, tokens)` of one call, or None if it failed."""
        payload = pipeline_module.StageInput(
            request=msgspec.Raw(request.body),
            stage=stage.name,
            previous=msgspec.Raw(previous),
            model=stage.model,
            max_tokens=stage.max_tokens,
            prefix=f"{request.pipeline}/{request.organisation}",
        )
        body = msgspec.json.encode(payload)
        call = base.Call(f"naive-{next(self._call_numbers)}", body, 600.0)
        if not await self._simulate_link(spec, len(body)):
            return None
        backend = fakes.ServerBackend(
            self._cluster.server_by_name[spec.name], spec.service.kind
        )
        tokens = []
        result = None
        async for event in backend.run(call):
            if isinstance(event, base.Tokens):
                tokens += event.tokens
            elif isinstance(event, base.Result):
                result = event.result
        if stage.max_tokens and result is not None:
            text = "".join(tokens)
            result = msgspec.json.encode(
                pipeline_module.GeneratedText(text, len(tokens))
            )
        size = len(result) if result is not None else 0
        if result is None or not await self._simulate_link(spec, size):
            return None
        return result, tokens

    async def _simulate_link(self, spec, size):
        """Wait for the network delay; return whether the link is up."""
        if spec.region == self._region:
            await trio.sleep(LOCAL_DELAY_S)
            return True
        await trio.sleep(deployment_module.REGION_DELAY_S)
        if self._cluster.is_cut(spec.region, self._region):
            return False
        self._cluster.count_cross_region_bytes(size)
        return True
