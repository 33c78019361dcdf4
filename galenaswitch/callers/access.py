"""Authentication of callers and their access to pipelines.

The directory maps API tokens to contracts and names to pipelines. It keeps
only the hashes of API tokens.
"""

import hmac
from typing import NamedTuple

from galenaswitch.configuration.catalog import (
    CONTRACTS,
    PIPELINES,
    Catalog,
    Item,
    read_document,
)
from galenaswitch.contracts.documents import (
    Contract,
    Pipeline,
    StageKind,
    hash_token,
)
from galenaswitch.refusals import Reason, RefusedError

BEARER_PREFIX = 'Bearer '


class VersionedContract(NamedTuple):
    """A contract and the version number that the store gave it."""

    contract: Contract
    version: int


class ContractDirectory:
    """Contracts and pipelines that this process now applies."""

    def __init__(self, catalog: Catalog) -> None:
        """Build an empty directory that ``refresh`` fills.

        :param catalog: configuration items in force; the directory does not
            read it.
        """
        self._catalog = catalog
        self._contracts: dict[str, VersionedContract] = {}
        self._pipelines: dict[str, Pipeline] = {}
        self._workspaces_by_token_hash: dict[str, str] = {}

    def refresh(self, items: tuple[Item, ...]) -> None:
        """Apply changed contracts and pipelines; other items are ignored."""
        for item in items:
            if item.kind == CONTRACTS:
                self._refresh_contract(item)
            if item.kind == PIPELINES:
                self._refresh_pipeline(item)

    def authenticate(self, header: str) -> VersionedContract:
        """Return the contract whose API token a caller sent.

        :param header: value of the request's ``Authorization`` header.
        :raises RefusedError: ``unauthorized`` when the token is unknown.
        """
        token_hash = hash_token(header.removeprefix(BEARER_PREFIX))
        workspace = self._workspaces_by_token_hash.get(token_hash)
        found = self._contracts.get(workspace or '')
        if not header.startswith(BEARER_PREFIX) or found is None:
            raise RefusedError(Reason.unauthorized)
        if not _has_token(found.contract, token_hash):
            raise RefusedError(Reason.unauthorized)
        return found

    def find_pipeline(self, contract: Contract, name: str) -> Pipeline:
        """Return the pipeline of a name, if the contract allows it.

        :raises RefusedError: ``pipeline-not-in-contract`` or
            ``unknown-pipeline``.
        """
        if name not in contract.pipelines:
            raise RefusedError(Reason.forbidden)
        pipeline = self._pipelines.get(name)
        if pipeline is None:
            raise RefusedError(Reason.unknown_pipeline)
        return pipeline

    def find_contract(self, workspace: str) -> Contract | None:
        """Return the current contract of a workspace, if it has one."""
        found = self._contracts.get(workspace)
        return found.contract if found else None

    def pools(self) -> set[str]:
        """Return the names of the target pools that any pipeline uses."""
        return {
            stage.pool
            for pipeline in self._pipelines.values()
            for stage in pipeline.stages
        }

    def wanted_models(self) -> dict[str, frozenset[str]]:
        """Return the models that each pool of engines should have loaded."""
        wanted: dict[str, frozenset[str]] = {}
        model_names = [
            f'{stage.pool}/{stage.model}@{stage.version}'
            for pipeline in self._pipelines.values()
            for stage in pipeline.stages
            if stage.kind is StageKind.generate
        ]
        model_names += [
            versioned.contract.smaller_model
            for versioned in self._contracts.values()
            if versioned.contract.smaller_model
        ]
        for name in model_names:
            pool, _, model = name.partition('/')
            wanted[pool] = wanted.get(pool, frozenset()) | {model}
        return wanted

    def _refresh_contract(self, item: Item) -> None:
        self._workspaces_by_token_hash = {
            token_hash: name
            for token_hash, name in self._workspaces_by_token_hash.items()
            if name != item.name
        }
        contract = read_document(item)
        if contract is None:
            self._contracts.pop(item.name, None)
            return
        self._contracts[item.name] = VersionedContract(contract, item.version)
        for token_hash in contract.tokens:
            self._workspaces_by_token_hash[token_hash] = item.name

    def _refresh_pipeline(self, item: Item) -> None:
        pipeline = read_document(item)
        if pipeline is None:
            self._pipelines.pop(item.name, None)
            return
        self._pipelines[item.name] = pipeline


def _has_token(contract: Contract, token_hash: str) -> bool:
    return any(
        hmac.compare_digest(token_hash, known_hash)
        for known_hash in contract.tokens
    )
