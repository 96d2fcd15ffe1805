"""Classification: guards against requests that are treated as another class."""

import pytest

from knapweeddock.classify import Classifier
from knapweeddock.codes import ResultCode
from knapweeddock.model import Config, RequestClass, Service


def make_class(prefix: str, *methods: str) -> RequestClass:
    return RequestClass(methods=list(methods), path_prefix=prefix, idempotent=False, pool="p")


CLASSES = {
    "any": make_class("/", "GET"),
    "book": make_class("/book", "POST"),
    "charge": make_class("/book/charge", "POST"),
}
SERVICE = Service(hosts=["Ringbook.example", "alt.example"], classes=CLASSES)
CONFIG = Config(services={"ringbook": SERVICE})


@pytest.mark.parametrize(
    ("host", "method", "path", "expected"),
    [
        ("ringbook.example", "POST", "/book/1", "book"),
        ("ringbook.example", "POST", "/book/charge/1", "charge"),
        ("RINGBOOK.EXAMPLE.", "GET", "/book/charge", "any"),
        ("alt.example", "POST", "/book", "book"),
        ("other.example", "GET", "/", ResultCode.UNKNOWN_SERVICE),
        ("ringbook.example", "POST", "/", ResultCode.UNKNOWN_CLASS),
        ("ringbook.example", "GET", "*", ResultCode.BAD_REQUEST),
        ("ringbook.example", "GET", "/maps/../book", ResultCode.BAD_REQUEST),
        ("ringbook.example", "GET", "/maps/%2e%2E/book", ResultCode.BAD_REQUEST),
    ],
)
def test_longest_prefix_of_the_method_wins(host, method, path, expected):
    found = Classifier(CONFIG).classify(host, method, path)
    assert (found if isinstance(found, ResultCode) else found.class_name) == expected
