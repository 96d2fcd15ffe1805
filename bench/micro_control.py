"""Times, message sizes and memory of the control plane, one JSON line per measure.

Run as ``python -m bench.micro_control``. Times are medians per call in
microseconds; sizes are bytes of the encoded messages without gRPC framing.
"""

import gc
import json
import random
import resource
import statistics
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import msgspec

from knapweeddock.blocks import BlockTable, parse_address
from knapweeddock.confighistory import ConfigHistory
from knapweeddock.ids import FailureDomainId, Incarnation, Version, VmId
from knapweeddock.lookup import Lookup
from knapweeddock.model import Config, decode_config
from knapweeddock.proto.knapweed_pb2 import ConfigChange, MemberRecord, PushRequest, Record
from knapweeddock.records import member_key
from knapweeddock.spread import SpreadNode
from knapweeddock.state import Member, MemberState, NodeState

BLOCKS = 3_000_000
SITES = 3_000
MEMBERS = 5_500
DOMAINS = 93
REGIONS = 43
FLEETS = (12, 100, 1_000, 5_500)
PAGE_BYTES = resource.getpagesize()


def emit(measure: str, **figures: object) -> None:
    """Print one measure."""
    print(json.dumps({"measure": measure, **figures}), flush=True)


def median_us(call: Callable[[], object], *, repetitions: int = 5, inner: int = 1) -> float:
    """Return the median time of a call in microseconds."""
    gc.collect()
    times = []
    for _ in range(repetitions):
        begin = time.perf_counter()
        for _ in range(inner):
            call()
        times.append((time.perf_counter() - begin) / inner * 1e6)
    return round(statistics.median(times), 2)


def resident_mb() -> float:
    """Return the resident memory of this process."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return round(pages * PAGE_BYTES / 1e6, 1)


def peak_mb() -> float:
    """Return the largest resident memory of this process so far."""
    return round(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1e3, 1)


def domain_of(number: int) -> FailureDomainId:
    """Return the failure domain of the numbered member."""
    return FailureDomainId(f"domain-{number % DOMAINS}")


def make_document() -> dict[str, object]:
    """Return a document with all regions and sites and no client blocks."""
    regions = {
        f"region-{r}": {"failure_domains": [f"domain-{d}" for d in range(r, DOMAINS, REGIONS)]}
        for r in range(REGIONS)
    }
    sites = {
        f"site-{n}": {
            "pool": f"pool-{n % 20}",
            "failure_domain": domain_of(n),
            "servers": {f"s-{n}-{k}": {"address": f"10.{n % 250}.{k}.1:80"} for k in range(4)},
        }
        for n in range(SITES)
    }
    services = {"ringbook": {"hosts": ["ringbook.example"], "classes": {}}}
    return {"regions": regions, "sites": sites, "services": services}


def make_blocks(rng: random.Random) -> Iterator[tuple[str, str]]:
    """Yield prefixes of 16 to 24 bits, nested in part, and their domains."""
    for _ in range(BLOCKS):
        value = rng.getrandbits(32)
        length = rng.choice((16, 20, 22, 23, 24, 24, 24, 24))
        value &= -1 << (32 - length)
        parts = value.to_bytes(4, "big")
        yield f"{parts[0]}.{parts[1]}.{parts[2]}.{parts[3]}/{length}", domain_of(value >> 8)


def make_member(number: int) -> Member:
    """Return a serving member."""
    return Member(
        vm=VmId(f"vm-{number}"),
        failure_domain=domain_of(number),
        incarnation=Incarnation(f"{number:032x}"),
        state=MemberState.SERVING,
        public_address=f"10.0.{number // 250}.{number % 250}:80",
        internal_address=f"10.0.{number // 250}.{number % 250}:81",
        lending_address=f"10.0.{number // 250}.{number % 250}:82",
        load=(number % 10) / 10,
    )


def make_state(config: Config) -> NodeState:
    """Return the state of a whole fleet."""
    members = {member.vm: member for member in map(make_member, range(MEMBERS))}
    return NodeState(config_version=Version(1), config=config, members=members)


def measure_lookup() -> None:
    """Measure look-ups against a full table."""
    rng = random.Random(1)
    lookup = Lookup(failure_domain=domain_of(0))
    state = make_state(decode_config(make_document()))
    lookup.update(state)
    before = resident_mb()
    begin = time.perf_counter()
    table = BlockTable(make_blocks(rng))
    built_s = round(time.perf_counter() - begin, 1)
    gc.collect()
    emit(
        "block table",
        blocks=BLOCKS,
        ranges=table.ranges,
        build_s=built_s,
        arrays_mb=round(table.size_bytes / 1e6, 1),
        added_resident_mb=round(resident_mb() - before, 1),
        process_peak_mb=peak_mb(),
    )
    lookup.use_blocks(table)
    clients = [".".join(str(rng.randrange(256)) for _ in range(4)) for _ in range(20_000)]
    addresses = [parse_address(client) for client in clients]
    find_us = median_us(lambda: [table.find(address) for address in addresses], repetitions=3)
    emit("block search", us_per_call=round(find_us / len(clients), 2))
    answer_all(lookup, clients, "look-up, first calls, clients of all domains")
    answer_all(lookup, clients, "look-up, same calls again")
    fresh = [".".join(str(rng.randrange(256)) for _ in range(4)) for _ in range(100_000)]
    answer_all(lookup, fresh, "look-up, other clients of all domains")
    update_us = median_us(lambda: update_one(lookup, rng), repetitions=20)
    emit("state update with one changed member", members=MEMBERS, median_us=update_us)
    emit("look-up process", resident_mb=resident_mb(), peak_mb=peak_mb())


def answer_all(lookup: Lookup, clients: list[str], measure: str) -> None:
    """Time one look-up per client."""
    times = []
    for client in clients:
        begin = time.perf_counter()
        lookup.answer("ringbook", client)
        times.append((time.perf_counter() - begin) * 1e6)
    times.sort()
    emit(
        measure,
        calls=len(times),
        mean_us=round(statistics.fmean(times), 1),
        median_us=round(times[len(times) // 2], 1),
        p99_us=round(times[len(times) * 99 // 100], 1),
    )


def update_one(lookup: Lookup, rng: random.Random) -> None:
    """Change the load of one member."""
    state = lookup.state
    assert state is not None
    number = rng.randrange(MEMBERS)
    members = dict(state.members)
    members[VmId(f"vm-{number}")] = make_member(number)
    lookup.update(NodeState(config_version=Version(1), config=state.config, members=members))


def make_record(number: int, version: int = 1) -> Record:
    """Return the record of a member."""
    member = make_member(number)
    return Record(
        key=member_key(member.vm),
        incarnation=f"{number:032x}",
        incarnation_start_ms=1_700_000_000_000,
        version=version,
        failure_domain=member.failure_domain,
        member=MemberRecord(
            vm=member.vm,
            failure_domain=member.failure_domain,
            entry_incarnation=member.incarnation,
            state=member.state.value,
            public_address=member.public_address,
            internal_address=member.internal_address,
            lending_address=member.lending_address,
            agent_address="10.0.0.1:83",
        ),
    )


def measure_comparison(fleet: int) -> None:
    """Measure merging and comparing the state of ``fleet`` members."""
    domain = domain_of(0)
    one = SpreadNode(vm=VmId("vm-0"), failure_domain=domain)
    other = SpreadNode(vm=VmId(f"vm-{DOMAINS}"), failure_domain=domain)
    records = [make_record(number) for number in range(fleet)]
    begin = time.perf_counter()
    one.take(records, 0.0)
    merge_us = (time.perf_counter() - begin) / fleet * 1e6
    other.take(records, 0.0)
    request = one.with_heartbeats(one.first_request())
    reply = other.answer(request, 0.0)
    equal_us = median_us(
        lambda: other.answer(one.with_heartbeats(one.first_request()), 0.0), inner=200
    )
    emit(
        "comparison of equal states",
        members=fleet,
        domain_members=len(one.members.by_domain[domain]),
        merge_us_per_record=round(merge_us, 1),
        median_us=equal_us,
        request_bytes=request.ByteSize(),
        reply_bytes=reply.ByteSize(),
    )
    other.take([make_record(fleet - 1, version=2)], 0.0)
    first = other.answer(one.first_request(), 0.0)
    second = one.second_request(first, 0.0)
    assert second is not None
    answer = other.answer(second, 0.0)
    differ_us = median_us(lambda: compare_differing(one, other), inner=20)
    emit(
        "comparison with one changed member",
        members=fleet,
        median_us=differ_us,
        bytes=[part.ByteSize() for part in (one.first_request(), first, second, answer)],
    )
    record = make_record(0, version=2)
    push = PushRequest(vm="vm-0", records=[record])
    emit("push of one member", members=fleet, bytes=push.ByteSize())


def compare_differing(one: SpreadNode, other: SpreadNode) -> None:
    """Run both rounds without taking the result."""
    second = one.second_request(other.answer(one.first_request(), 0.0), 0.0)
    assert second is not None
    other.answer(second, 0.0)


def measure_change() -> None:
    """Measure one change of a document of 3,000 sites."""
    history = ConfigHistory()
    history.take_document(1, msgspec.json.encode(make_document()))
    patch = msgspec.json.encode({"sites": {"site-7": {"cap": 5}}})

    def apply() -> None:
        version = history.version + 1
        history.apply([ConfigChange(config_version=version, patch=patch)], version)

    apply_us = median_us(apply, inner=50)
    encode_us = median_us(lambda: msgspec.json.encode(history.document))
    encoded = history.encoded
    decode_us = median_us(
        lambda: decode_config(msgspec.json.decode(encoded, type=dict[str, object]))
    )
    news = history.since(history.version - 1)
    assert news is not None
    emit(
        "one configuration change",
        sites=SITES,
        document_bytes=len(encoded),
        apply_us=apply_us,
        encode_us=encode_us,
        decode_us=decode_us,
        push_bytes=news.ByteSize(),
    )


def main() -> None:
    """Run all measures."""
    measure_lookup()
    for fleet in FLEETS:
        measure_comparison(fleet)
    measure_change()


if __name__ == "__main__":
    main()
