"""Issue, verification, expiry and key rotation of signed session pins."""

import pytest
from itsdangerous import URLSafeSerializer

from fuchsiaroute.clock import ManualClock, Milliseconds
from fuchsiaroute.ids import OrganisationId, SessionId, VersionId
from fuchsiaroute.session import DEFAULT_PIN_LIFETIME, PinSigner
from fuchsiaroute.verdict import RefusalReason

FIRM, SESSION = OrganisationId("firm"), SessionId("s1")
VERSION = VersionId("small-1")


def make_signer(*keys, clock=None):
    return PinSigner(keys=keys, clock=clock or ManualClock())


def test_pin_is_verified_by_another_entry_with_the_same_key():
    clock = ManualClock()
    pin = make_signer("k1", clock=clock).issue(FIRM, SESSION, VERSION)
    found = make_signer("k1", clock=clock).verify(pin, FIRM, SESSION).unwrap()
    assert (found.version, found.issued_at) == (VERSION, clock.wall())


@pytest.mark.parametrize(
    ("keys", "is_valid"),
    [(("k1", "k2"), True), (("k2", "k1"), True), (("k2",), False)],
)
def test_pin_stays_valid_until_its_key_is_removed(keys, is_valid):
    pin = make_signer("k1", "k0").issue(FIRM, SESSION, VERSION)
    outcome = make_signer(*keys).verify(pin, FIRM, SESSION)
    assert (outcome.value_or(None) is not None) is is_valid


@pytest.mark.parametrize(
    ("organisation", "session"),
    [(OrganisationId("other"), SESSION), (FIRM, SessionId("s2"))],
)
def test_pin_of_another_organisation_or_session_is_refused(organisation, session):
    signer = make_signer("k1")
    pin = signer.issue(FIRM, SESSION, VERSION)
    refusal = signer.verify(pin, organisation, session).failure()
    assert refusal.reason is RefusalReason.INVALID_PIN


@pytest.mark.parametrize(
    ("age", "is_valid"),
    [
        (0, True),
        (-30_000, True),
        (-60_001, False),
        (DEFAULT_PIN_LIFETIME - 1, True),
        (DEFAULT_PIN_LIFETIME, False),
    ],
)
def test_pin_expires_and_may_be_ahead_by_the_clock_skew_only(age, is_valid):
    start = Milliseconds(10**12)
    issued = make_signer("k1", clock=ManualClock(start=start))
    pin = issued.issue(FIRM, SESSION, VERSION)
    later = make_signer("k1", clock=ManualClock(start=Milliseconds(start + age)))
    outcome = later.verify(pin, FIRM, SESSION)
    assert (outcome.value_or(None) is not None) is is_valid


def test_pin_with_any_character_changed_is_refused():
    signer = make_signer("k1")
    pin = signer.issue(FIRM, SESSION, VERSION)
    for index in range(len(pin) - 1):
        forged = pin[:index] + ("A" if pin[index] != "A" else "B") + pin[index + 1 :]
        refusal = signer.verify(forged, FIRM, SESSION).failure()
        assert refusal.reason is RefusalReason.INVALID_PIN


@pytest.mark.parametrize("pin", ["", ".", "x" * 5_000, "é", "a.b.c"])
def test_malformed_pin_is_refused(pin):
    refusal = make_signer("k1").verify(pin, FIRM, SESSION).failure()
    assert refusal.reason is RefusalReason.INVALID_PIN


def test_payload_signed_with_another_salt_is_refused():
    payload = [FIRM, SESSION, VERSION, 1_000_000]
    forged = URLSafeSerializer("k1", salt="other").dumps(payload)
    assert make_signer("k1").verify(forged, FIRM, SESSION).failure()


@pytest.mark.parametrize("keys", [(), ("",), ("k1", "")])
def test_signer_rejects_missing_or_empty_keys(keys):
    with pytest.raises(ValueError, match="key"):
        make_signer(*keys)
