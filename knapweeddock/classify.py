"""Maps requests to a service and request class by host, method and path."""

from dataclasses import dataclass
from urllib.parse import unquote

from knapweeddock.codes import ResultCode
from knapweeddock.ids import ClassId, ServiceId
from knapweeddock.model import Config, RequestClass

DOT_SEGMENTS = frozenset({".", ".."})


@dataclass(frozen=True, kw_only=True, slots=True)
class Classification:
    """Service and request class of a request.

    Attributes:
        service: Service that serves the host.
        class_name: Name of the class within the service.
        request_class: Configuration of the class.
    """

    service: ServiceId
    class_name: ClassId
    request_class: RequestClass


class Classifier:
    """Matches requests against the services of one configuration.

    Attributes:
        routes: Classes by normalized host name, the longest path prefix first.
    """

    def __init__(self, config: Config) -> None:
        self.routes: dict[str, list[Classification]] = {}
        for service_id, service in config.services.items():
            classes = [
                Classification(service=service_id, class_name=name, request_class=request_class)
                for name, request_class in service.classes.items()
            ]
            classes.sort(key=_longest_prefix_first)
            for host in service.hosts:
                self.routes[_normalize_host(host)] = classes

    def classify(self, host: str, method: str, path: str) -> Classification | ResultCode:
        """Return the class with the longest matching path prefix.

        Prefixes are compared as plain text: ``/book`` also matches ``/bookings``.

        Args:
            host: Host name without the port; case and a trailing dot are ignored.
            method: HTTP method.
            path: Path without the query.

        Returns:
            The class, or ``UNKNOWN_SERVICE``, ``UNKNOWN_CLASS`` or
            ``BAD_REQUEST``. Paths with dot segments are refused, because a
            server that resolves them would serve a path of another class than
            the one matched here.
        """
        classes = self.routes.get(_normalize_host(host))
        if classes is None:
            return ResultCode.UNKNOWN_SERVICE
        if not path.startswith("/") or _has_dot_segment(path):
            return ResultCode.BAD_REQUEST
        for candidate in classes:
            request_class = candidate.request_class
            if method in request_class.methods and path.startswith(request_class.path_prefix):
                return candidate
        return ResultCode.UNKNOWN_CLASS


def _normalize_host(host: str) -> str:
    return host.lower().removesuffix(".")


def _has_dot_segment(path: str) -> bool:
    return not DOT_SEGMENTS.isdisjoint(unquote(path).split("/"))


def _longest_prefix_first(classification: Classification) -> tuple[int, str]:
    return (-len(classification.request_class.path_prefix), classification.class_name)
