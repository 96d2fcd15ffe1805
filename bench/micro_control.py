"""Times, message sizes and memory of the control plane, one JSON line per measure.

Run as ``python -m bench.micro_control``. Times are medians per call in
microseconds; sizes are bytes of the encoded messages without gRPC framing.
"""

import gc
import random
import statistics
import time

import msgspec

from bench.measures import (
    BLOCKS,
    DOMAINS,
    MEMBERS,
    SITES,
    domain_of,
    emit,
    make_blocks,
    make_document,
    make_member,
    make_state,
    median_us,
    peak_mb,
    resident_mb,
)
from bench.micro_blocks import measure_blocks
from knapweeddock.blocks import BlockTable, parse_address
from knapweeddock.confighistory import ConfigHistory
from knapweeddock.ids import Version, VmId
from knapweeddock.lookup import Lookup
from knapweeddock.model import decode_config
from knapweeddock.proto.knapweed_pb2 import ConfigChange, MemberRecord, PushRequest, Record
from knapweeddock.records import member_key
from knapweeddock.replication import ReplicationNode
from knapweeddock.state import NodeState

FLEETS = (12, 100, 1_000, 5_500)


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
    one = ReplicationNode(vm=VmId("vm-0"), failure_domain=domain)
    other = ReplicationNode(vm=VmId(f"vm-{DOMAINS}"), failure_domain=domain)
    records = [make_record(number) for number in range(fleet)]
    begin = time.perf_counter()
    one.merge(records, 0.0)
    merge_us = (time.perf_counter() - begin) / fleet * 1e6
    other.merge(records, 0.0)
    request = one.add_heartbeats(one.build_digest_request())
    reply = other.handle_exchange(request, 0.0)
    equal_us = median_us(
        lambda: other.handle_exchange(one.add_heartbeats(one.build_digest_request()), 0.0),
        inner=200,
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
    other.merge([make_record(fleet - 1, version=2)], 0.0)
    first = other.handle_exchange(one.build_digest_request(), 0.0)
    second = one.build_version_request(first, 0.0)
    assert second is not None
    answer = other.handle_exchange(second, 0.0)
    differ_us = median_us(lambda: compare_differing(one, other), inner=20)
    emit(
        "comparison with one changed member",
        members=fleet,
        median_us=differ_us,
        bytes=[part.ByteSize() for part in (one.build_digest_request(), first, second, answer)],
    )
    record = make_record(0, version=2)
    push = PushRequest(vm="vm-0", records=[record])
    emit("push of one member", members=fleet, bytes=push.ByteSize())


def compare_differing(one: ReplicationNode, other: ReplicationNode) -> None:
    """Run both rounds without taking the result."""
    second = one.build_version_request(other.handle_exchange(one.build_digest_request(), 0.0), 0.0)
    assert second is not None
    other.handle_exchange(second, 0.0)


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
    measure_blocks()


if __name__ == "__main__":
    main()
