from knapweeddock.gateway.evidence.duekeys import FORWARDED_TO, Direction, DueKeys, Source


def test_what_came_from_the_relay_is_not_sent_back_to_it():
    # Two gateways would repeat it to each other for ever.
    assert Direction.TO_RELAY not in FORWARDED_TO[Source.RELAY]
    assert Direction.TO_OTHER_REGIONS not in FORWARDED_TO[Source.OTHER_REGION]


def test_items_beyond_the_limit_follow_the_next_time():
    due = DueKeys()
    for key in range(5):
        due.add(key, [Direction.TO_RELAY])
    assert due.take(Direction.TO_RELAY, 3) == [0, 1, 2]
    assert due.take(Direction.TO_RELAY, 3) == [3, 4]
    assert due.take(Direction.TO_RELAY, 3) == []


def test_items_for_other_regions_are_repeated():
    # Datagrams between regions are lost now and then.
    due = DueKeys()
    due.add("a", Direction)
    taken = [due.take(Direction.TO_OTHER_REGIONS, 9) for _ in range(5)]
    assert taken == [["a"], ["a"], ["a"], [], []]


def test_dropped_direction_has_nothing_due():
    due = DueKeys()
    due.add("a", Direction)
    due.drop(Direction.TO_RELAY)
    assert due.take(Direction.TO_RELAY, 9) == []
    assert due.take(Direction.TO_SUBSCRIBERS, 9) == ["a"]
