"""Compatibility with the version before the renaming: messages, log commands, records and agreed values.

Each must be decoded to the same value and encoded to the same bytes.
"""

import asyncio
import json
import zlib
from pathlib import Path

import pytest
from compatibility import machines
from compatibility.agreed import agreed, summary
from compatibility.mesh import call_frame, call_of, relayed, reply_frame
from compatibility.messages import CALL, FAMILIES, FLEET, REPLY, RULES, WARMING_NOTE
from compatibility.stored import CHANGES

from frostspindle.fleet import wire as fleet
from frostspindle.ownership import lease_table, progress
from frostspindle.predicates.summaries import Summary
from frostspindle.recovery import wire as recovery
from frostspindle.replica import wire as replica
from frostspindle.scatter import wire as scatter
from frostspindle.settings import log_commands, schema, state_machine
from frostspindle.settings.version_encoding import pack_changes, unpack_changes
from frostspindle.store.base import unseal
from frostspindle.subscriptions import wire as subscriptions

DATA = Path(__file__).with_name("data")
STORED = {
    section: {name: bytes.fromhex(text) for name, text in samples.items()}
    for section, samples in json.loads((DATA / "messages.json").read_text()).items()
}
AGREED = json.loads((DATA / "agreed.json").read_text())
SAMPLES = [
    pytest.param(decode, encode, value, STORED[section][name], id=f"{section}: {name}")
    for section, (decode, encode, samples) in FAMILIES.items()
    for name, value in samples.items()
]
OTHER_SECTIONS = {"settings entry", "settings changes", "mesh", "snapshot"}  # sections with tests of their own


@pytest.mark.parametrize(("decode", "encode", "value", "data"), SAMPLES)
def test_message_is_decoded_to_its_value_and_encoded_to_its_bytes(decode, encode, value, data):
    assert decode(data) == value
    assert encode(value) == data


def test_every_fixture_has_a_test_and_every_message_type_a_fixture():
    assert STORED.keys() == FAMILIES.keys() | OTHER_SECTIONS
    for section, (_, _, samples) in FAMILIES.items():
        assert STORED[section].keys() == samples.keys(), section
    for union, samples in (
        (fleet.Body, FLEET),
        (recovery.Message, FAMILIES["recovery"][2]),
        (scatter.Message, FAMILIES["scatter"][2]),
        (subscriptions.Message, FAMILIES["subscriptions"][2]),
        (lease_table.Command, FAMILIES["ownership"][2]),
        (log_commands.Command, FAMILIES["settings"][2]),
    ):
        assert {type(sample) for sample in samples.values()} == set(union.__args__)
    assert {data[1] for data in STORED["replica"].values()} == {
        number for number, _, _ in replica._MESSAGE_FORMATS.values()
    }
    assert {schema.kind_of(key) for key in STORED["settings entry"]} == schema.KINDS.keys()


@pytest.mark.parametrize("key", STORED["settings entry"])
def test_settings_entry_is_decoded_to_its_value_and_encoded_to_its_bytes(key):
    data = STORED["settings entry"][key]
    assert schema.decode_entry(key, data) == RULES[key]
    assert schema.encode_msgpack(RULES[key]) == data


def test_settings_changes_are_decoded_to_their_values_and_encoded_to_the_same_text():
    data = STORED["settings changes"]["packed"]
    assert unpack_changes(data) == CHANGES
    # Only the uncompressed data must be identical; the compressed bytes depend on the installed zlib.
    assert zlib.decompress(unseal(pack_changes(CHANGES))) == zlib.decompress(unseal(data))


def test_worker_relays_a_call_in_the_same_frames():
    call, reply = STORED["mesh"]["call"], STORED["mesh"]["reply"]
    assert call_frame(*CALL) == call
    assert reply_frame(REPLY) == reply
    assert call_of(call) == (1, *CALL)
    assert asyncio.run(relayed(*CALL, reply)) == (call, REPLY)


def test_settings_snapshot_is_restored_and_written_identically():
    data, expected, machine = STORED["snapshot"]["settings"], machines.settings(), state_machine.SettingsStateMachine()
    machine.restore(expected.applied_index, data)
    assert zlib.decompress(machine.state()) == zlib.decompress(expected.state()) == zlib.decompress(data)
    assert (
        machine.highest_token,
        machine.last_version,
        machine.active_version,
        machine.confirmed_version,
        machine.pending_version,
    ) == (12, 3, 2, 1, 3)
    assert (machine.trial_index, machine.baseline, machine.applied_index) == (27, (0.5, 1.5), 31)
    assert [version.number for version in machine.versions] == [1, 2, 3]
    assert dict(machine.version(3).rules) == dict(machine.version(1).rules) == RULES
    assert dict(machine.version(2).rules) == {**RULES, **machines.BANNED}
    assert (machine.members, machine.drafts, machine.rolled_back_digests, machine.events) == (
        expected.members,
        expected.drafts,
        expected.rolled_back_digests,
        expected.events,
    )


def test_lease_table_snapshot_is_restored_and_written_identically():
    data, machine = STORED["snapshot"]["leases"], lease_table.LeaseTable()
    machine.restore(33, data)
    assert machine.state() == machines.leases().state() == data
    assert machine.rows == {
        "export": lease_table.LeaseRow(
            holder="c1", incarnation=2, token=31, renewals=1, duration_ms=4_000, forced=True
        ),
        "warm/e7": lease_table.LeaseRow(
            holder="c1", incarnation=2, token=31, renewals=0, duration_ms=3_000, forced=False
        ),
    }
    late = lease_table.RenewLeases(holder="c1", incarnation=2, number=2, duration_ms=3_000)
    assert lease_table.decode_result(machine.apply(34, lease_table.encode(late))).reason == "doubled"


def test_warm_up_snapshot_is_restored_and_written_identically():
    data, machine = STORED["snapshot"]["warming"], progress.WarmupProgress()
    machine.restore(41, data)
    assert machine.state() == machines.warming().state() == data
    assert machine.highest == WARMING_NOTE.token
    assert machine.position(engine=WARMING_NOTE.engine, born_ms=WARMING_NOTE.born_ms) == WARMING_NOTE.position


@pytest.mark.parametrize("name", AGREED)
def test_value_that_coordinators_must_agree_on_is_computed_identically(name):
    assert agreed()[name] == AGREED[name]


def test_every_agreed_value_has_a_fixture():
    assert agreed().keys() == AGREED.keys()


def test_summary_is_decoded_to_the_same_bounds_and_sketches():
    read, expected = Summary.decode(bytes.fromhex(AGREED["summary"])), summary()
    assert read.encode() == expected.encode()
    assert (read.rows, read.version) == (expected.rows, expected.version) == (3, 3)
    region, price = read.view("region"), read.view("price")
    assert (region.lo, region.hi, region.values, region.nulls) == ("north", "west", 3, 0)
    assert (price.lo, price.hi, price.values, price.nulls) == (7, 12, 2, 1)
