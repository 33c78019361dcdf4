"""Decides where and when a stream may go on after it broke off.

A stream goes on only at a target of the software version that began it, within
one answer as over several attempts of its caller. Where no VM remembers its
beginning, it goes on only if all streams of its service began at one version.

It is urgent, since its caller has part of the answer and less time left than
those of new streams.
"""

from typing import NamedTuple

from galenaswitch.gateway.calls import CallerRequest
from galenaswitch.gateway.jobs import StreamJob
from galenaswitch.gateway.origin_messages import StreamOrigin
from galenaswitch.gateway.origins import StreamOrigins
from galenaswitch.gateway.routes import Route
from galenaswitch.gateway.version_records import VersionRecords
from galenaswitch.membership.lists import Members, Target
from galenaswitch.operations.logs import get_logger
from galenaswitch.operations.metrics import Metrics
from galenaswitch.refusals import ExecutionState, Reason, RefusedError

# Priority of a stream that goes on, ahead of all new streams.
CONTINUATION_PRIORITY = -4


class Continuation(NamedTuple):
    """A request, and where its answer may come from.

    :param request: request to the service that began the stream.
    :param version: software version that began the stream, ``None`` for a new
        stream, which may begin at any version.
    """

    request: CallerRequest
    version: str | None


class ContinuationPolicy:
    """Keeps each stream at the software version that began it.

    :ivar members: targets that may begin or continue a stream.
    """

    def __init__(
        self,
        members: Members,
        origins: StreamOrigins,
        versions: VersionRecords,
        metrics: Metrics,
    ) -> None:
        """Build a policy over the targets in ``members``.

        :param versions: versions at which streams that no VM remembers began.
        """
        self.members = members
        self._origins = origins
        self._versions = versions
        self._metrics = metrics

    async def admit(self, request: CallerRequest) -> Continuation:
        """Find out where a request may run.

        :raises RefusedError: when the request resumes a stream that began
            nobody knows where, or that is another caller's.
        """
        if not request.fields.last_event:
            return Continuation(request, None)
        origin = await self._origins.find(request.fields.origin)
        outcome = 'admitted'
        if origin is None:
            outcome = 'inferred'
            origin = await self._infer_origin(request)
        if origin is None or not _may_resume(request, origin):
            self._record(request, 'unknown', origin)
            raise RefusedError(
                Reason.origin_unknown,
                ExecutionState.not_run,
                'no VM knows where the stream began',
            )
        self._record(request, outcome, origin)
        return Continuation(
            _expedite(request._replace(service=origin.service)), origin.version
        )

    def check(self, job: StreamJob) -> None:
        """Check that a target can begin or continue an answer.

        :raises RefusedError: when no target of its version serves.
        """
        if job.version is None or self.find_targets(job):
            return
        get_logger().info(
            'stream_version_gone',
            request=job.request.ident,
            version=job.version,
            last_event=job.events.last_id,
        )
        self._metrics.count('stream_version_gone')
        raise RefusedError(
            Reason.stage_failed if job.may_have_run else Reason.version_gone,
            job.run,
            'no target of the version that began the stream serves',
        )

    def fits(self, job: StreamJob, target: Target) -> bool:
        """Tell whether a target can begin or continue an answer."""
        return job.version in {None, target.version}

    def find_targets(self, job: StreamJob) -> tuple[Target, ...]:
        """Return the targets that can begin or continue an answer."""
        return tuple(
            target
            for target in self.members.usable(job.request.service)
            if self.fits(job, target)
        )

    def has_other_target(self, job: StreamJob) -> bool:
        """Tell whether a target may get a request that others were sent."""
        return bool(job.find_open(self.find_targets(job)))

    def record_first_event(self, job: StreamJob, target: Target) -> None:
        """Note where a stream began or goes on, before its event goes out."""
        job.version = target.version
        request = job.request
        if request.route.resumable and job.origin_ident:
            self._origins.record(
                StreamOrigin(
                    job.origin_ident,
                    request.workspace,
                    request.service,
                    target.version,
                )
            )

    def restart(self, job: StreamJob) -> None:
        """Let another target go on with a job, which sends the rest."""
        job.events.restart()
        self.prepare_rest(job)

    def prepare_rest(self, job: StreamJob) -> None:
        """Prepare a job for another target while the stream may still go on."""
        if job.has_first_event:
            job.request = _expedite(job.request)

    async def _infer_origin(
        self, request: CallerRequest
    ) -> StreamOrigin | None:
        """Return the origin of a stream that no VM remembers.

        :returns: ``None`` unless all streams of its service began at one
            version.
        """
        services = _find_services(request.route)
        if not request.route.resumable or len(services) != 1:
            return None
        service = services.pop()
        version = await self._versions.find_only_version(service)
        if version is None:
            return None
        return StreamOrigin(
            request.fields.origin, request.workspace, service, version
        )

    def _record(
        self, request: CallerRequest, outcome: str, origin: StreamOrigin | None
    ) -> None:
        self._metrics.count(f'stream_taken_up.{outcome}')
        get_logger().info(
            'stream_taken_up',
            request=request.ident,
            origin=request.fields.origin,
            outcome=outcome,
            version=origin.version if origin else '',
            last_event=request.fields.last_event,
        )


def _expedite(request: CallerRequest) -> CallerRequest:
    """Return the request for the rest of a stream, ahead of new streams.

    Its objective is that it ends before the deadline: its first event has been
    on time or late already.
    """
    return request._replace(
        priority=CONTINUATION_PRIORITY, objective_deadline=request.deadline
    )


def _may_resume(request: CallerRequest, origin: StreamOrigin) -> bool:
    """Tell whether a request may go on with a stream.

    The stream must be one of the caller's workspace, and of a service that the
    route of the request leads to.
    """
    return (
        request.route.resumable
        and origin.workspace == request.workspace
        and origin.service in _find_services(request.route)
    )


def _find_services(route: Route) -> set[str]:
    """Return the services that get requests of a route."""
    return {split.service for split in route.splits if split.weight}
