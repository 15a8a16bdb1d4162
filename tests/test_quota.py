import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from sassafrashall.decisions import quota
from sassafrashall.decisions import token_cache
from tests import quota_model


@hypothesis.given(
    burst=st.integers(1, 50),
    rate=st.floats(0.1, 1000),
    owners=st.integers(1, 11),
    shares=st.integers(0, 11),
)
def test_owner_shares_add_up_to_the_quota(burst, rate, owners, shares):
    names = tuple(f"o{i}" for i in range(owners))
    parts = [
        quota.owner_share("x", rate, burst, name, names, shares)
        for name in names
    ]
    assert sum(tokens for _, tokens in parts) == burst
    assert sum(part for part, _ in parts) == pytest.approx(rate)


def test_a_replacement_does_not_change_the_other_shares():
    before = [quota.owner_share("x", 10, 7, n, ("a", "b", "c")) for n in "ab"]
    after = [quota.owner_share("x", 10, 7, n, ("a", "b", "d")) for n in "ab"]
    assert before == after


def test_a_restarted_owner_lends_nothing_until_old_leases_have_expired():
    bucket = quota.open_bucket(100.0, 10, 0.0, is_new=False)
    _, early = quota.grant_lease(bucket, "l", 5, quota.OWNER_LEASE_TTL)
    _, later = quota.grant_lease(bucket, "l", 5, quota.OWNER_LEASE_TTL + 1.0)
    assert (early, later) == (0, 5)


# Guards against a fleet that refuses all requests with a key for 3 s after its
# controls have restarted.
def test_a_restarted_owner_lends_at_once_what_it_cannot_have_lent():
    limit = quota.lease_limit(30, 0.67)
    bucket = quota.open_bucket(100.0, 30, 0.0, is_new=False, unknown=limit)
    bucket, early = quota.grant_lease(bucket, "l", 99, 1.0, limit)
    assert (limit, early) == (21, 9)
    after = quota.OWNER_LEASE_TTL + 0.5
    bucket, later = quota.grant_lease(bucket, "m", 99, after, limit)
    assert early + later == limit


def test_no_more_than_the_limit_is_on_leases_at_the_same_time():
    bucket = quota.open_bucket(0.0, 30, 0.0, is_new=True)
    bucket, first = quota.grant_lease(bucket, "l", 15, 0.0, 20)
    bucket, second = quota.grant_lease(bucket, "m", 15, 0.0, 20)
    assert (first, second) == (15, 5)


def test_a_small_share_is_lent_as_a_whole():
    assert [quota.lease_limit(n, 0.5) for n in (1, 2, 5, 6, 7)] == [
        1,
        2,
        5,
        3,
        4,
    ]
    assert quota.lease_limit(30, 1.0) == 30


def test_capacity_added_by_a_resize_starts_empty():
    bucket = quota.open_bucket(0.0, 10, 0.0, is_new=True)
    bucket = quota.resize(bucket, 0.0, 100, 1.0)
    assert bucket.level == 10


def test_tokens_of_a_lost_answer_are_unavailable_until_the_lease_expires():
    bucket = quota.open_bucket(0.0, 10, 0.0, is_new=True)
    bucket, _ = quota.grant_lease(bucket, "lost", 10, 0.0)
    assert quota.grant_lease(bucket, "x", 1, 1.0)[1] == 0
    bucket = quota.refill(bucket, quota.OWNER_LEASE_TTL + 0.1)
    assert bucket.outstanding == 0 and bucket.level == 0


def test_a_lease_lapses_at_the_node_before_the_owner():
    model = quota_model.Model(1, rate=400, burst=30, nodes=2)
    model.borrow(0, extra=20)
    model.now += quota.LEASE_TTL - 0.1
    for node in (0, 1):
        for _ in range(60):
            model.request(node)
    quota_model.check_bound(model.admitted, 400, 30)


def test_a_second_copy_of_a_report_changes_nothing():
    bucket = quota.open_bucket(0.0, 10, 0.0, is_new=True)
    bucket, _ = quota.grant_lease(bucket, "l", 10, 0.0)
    report = quota.Report(
        owner="o",
        organisation="x",
        lease_id="l",
        sequence=1,
        used=0,
        returned=3,
    )
    once = quota.apply_report(bucket, report, 0.1)
    assert (
        quota.apply_report(once, report, 0.2).outstanding
        == once.outstanding
        == 7
    )


def test_an_idle_node_returns_its_tokens():
    model = quota_model.Model(1, rate=10, burst=10, nodes=2)
    model.caches[0] = token_cache.add_leases(
        model.caches[0],
        (
            token_cache.HeldLease(
                owner="o0", lease_id="l", tokens=3, expires_at=9.0
            ),
        ),
    )
    model.now = 1.0
    cache, reports = token_cache.collect_reports(model.caches[0], "org", 1.0)
    assert reports[0].returned == 3 and not cache.leases


class QuotaMachine(stateful.RuleBasedStateMachine):
    """Checks the bound under message loss, pauses, partitions and restarts."""

    @stateful.initialize(
        seed=st.integers(0, 2**16),
        burst=st.integers(1, 40),
        rate=st.sampled_from([1.0, 7.0, 50.0, 400.0]),
        loss=st.sampled_from([0.0, 0.1, 0.5]),
        fraction=st.sampled_from([1.0, 0.67, 0.4]),
    )
    def begin(self, seed, burst, rate, loss, fraction):
        self.model = quota_model.Model(
            seed, rate=rate, burst=burst, loss=loss, fraction=fraction
        )

    @stateful.rule(node=st.integers(0, 5), count=st.integers(1, 60))
    def burst_of_requests(self, node, count):
        for _ in range(count):
            self.model.request(node)

    @stateful.rule(seconds=st.sampled_from([0.001, 0.02, 0.3, 1.1, 2.1, 3.5]))
    def wait(self, seconds):
        self.model.now += seconds
        self.model.tick()

    @stateful.rule(node=st.integers(0, 5), count=st.integers(1, 40))
    def hoard(self, node, count):
        """Borrows more tokens than the node needs."""
        self.model.borrow(node, extra=count)

    @stateful.rule(seconds=st.sampled_from([0.5, 1.2, 1.9, 2.4, 3.2]))
    def freeze(self, seconds):
        self.model.now += seconds

    @stateful.rule(owner=st.integers(0, 2))
    def restart_owner(self, owner):
        self.model.restart_owner(self.model.names[owner])

    @stateful.rule(node=st.integers(0, 5))
    def cut_or_heal(self, node):
        self.model.isolated_nodes ^= {node}

    @stateful.invariant()
    def within_burst_and_rate(self):
        if hasattr(self, "model"):
            quota_model.check_bound(
                self.model.admitted, self.model.rate, self.model.burst
            )
            assert self.model.escrowed() <= self.model.burst + 1e-6


QuotaMachine.TestCase.settings = hypothesis.settings(
    max_examples=150,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    phases=(hypothesis.Phase.generate,),
)
TestQuotaMachine = QuotaMachine.TestCase


@pytest.mark.parametrize("seed", range(5))
def test_rate_changes_under_load_grant_no_second_burst(seed):
    model = quota_model.Model(seed, rate=100, burst=20, loss=0.05)
    for turn in range(2000):
        model.now += 0.002
        model.request(model.random.randrange(6))
        if turn % 25 == 0:
            model.tick()
        if turn % 100 == 50:
            rate, burst = model.random.choice([(100, 20), (10, 5), (50, 12)])
            model.change_rate(rate, burst)
    quota_model.check_bound(model.admitted, 100, 20)


def test_an_overage_widens_the_quota():
    assert quota.NO_OVERAGE.widen_quota(10.0, 7) == (10.0, 7)
    wider = quota.Overage(fraction=0.1, tokens=20)
    assert wider.widen_quota(10.0, 30) == (11.0, 53)


def test_a_relaxed_node_borrows_again_only_below_its_low_watermark():
    policy = token_cache.RELAXED

    def cache(tokens):
        lease = token_cache.HeldLease(
            owner="o", lease_id="l", tokens=tokens, expires_at=9.0
        )
        return token_cache.TokenCache(leases=(lease,), demand=30.0)

    target = 19  # 0.6 s of 30 requests per second, plus one
    assert token_cache.prefetch_count(cache(target - 1), 1.0, policy) == 0
    assert token_cache.prefetch_count(cache(10), 1.0, policy) == 0
    assert token_cache.prefetch_count(cache(9), 1.0, policy) == 10
    # With a low watermark of 1, a node asks again after every used token.
    assert token_cache.prefetch_count(cache(2), 1.0, token_cache.EAGER) == 1
