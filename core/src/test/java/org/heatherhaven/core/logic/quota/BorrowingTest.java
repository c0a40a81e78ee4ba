package org.heatherhaven.core.logic.quota;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import net.jqwik.api.Example;
import org.heatherhaven.core.effect.Effect;
import org.heatherhaven.core.effect.Outbox;
import org.heatherhaven.core.message.LoanGrant;
import org.heatherhaven.core.model.LeaseId;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.Owner;
import org.heatherhaven.core.model.Team;
import org.pcollections.HashTreePMap;

/**
 * Guards against loan requests to all owners of a team's shares at once, which happen if every call that arrives while
 * a request to the nearest owner is pending triggers a request to the next one.
 */
class BorrowingTest {

    private static final Instant START = Instant.ofEpochSecond(1_000);
    private static final Team TEAM = new Team("banquets", 300, 90, 3);
    private static final LeaseId NEAR = new LeaseId(LeaseId.Kind.SHARE, "banquets", 1);
    private static final LeaseId FAR = new LeaseId(LeaseId.Kind.SHARE, "banquets", 2);
    private static final Map<LeaseId, NodeId> OWNERS =
            Map.of(NEAR, new NodeId("10.0.0.1:7000"), FAR, new NodeId("10.1.0.1:7000"));

    private final Outbox out = new Outbox();
    private QuotaState state = QuotaState.start(START);

    /** Two shares with one owner each, the near one first. */
    private record TwoOwners() implements ShareOwners {

        @Override
        public Owner self() {
            return new Owner(new NodeId("10.0.0.9:7000"), 1);
        }

        @Override
        public List<LeaseId> shares(Team team) {
            return List.of(NEAR, FAR);
        }

        @Override
        public Team withEffectiveShares(Team team) {
            return team;
        }

        @Override
        public Optional<NodeId> ownerOf(LeaseId share) {
            return Optional.of(OWNERS.get(share));
        }

        @Override
        public Optional<LendingPermission> lendingPermission(LeaseId share, Instant now) {
            return Optional.empty();
        }
    }

    private void call(long number, int millis) {
        state = Borrowing.requestToken(state, number, TEAM, at(millis), out);
    }

    private static Borrowing.Context at(int millis) {
        return new Borrowing.Context(new TwoOwners(), START.plusMillis(millis));
    }

    private List<NodeId> requestReceivers() {
        return out.effects().stream().map(effect -> ((Effect.Send) effect).to()).toList();
    }

    private static void expect(Object expected, Object actual) {
        if (!expected.equals(actual)) {
            throw new AssertionError("expected " + expected + ", got " + actual);
        }
    }

    @Example
    void callsThatArriveWhileARequestToTheNearOwnerIsPendingTriggerNoOther() {
        for (int call = 1; call <= 8; call++) {
            call(call, call);
        }
        expect(List.of(OWNERS.get(NEAR)), requestReceivers());
    }

    @Example
    void theNextOwnerGetsARequestIfTheFirstDoesNotRespondInTime() {
        call(1, 0);
        state = Borrowing.tick(state, HashTreePMap.singleton(TEAM.name(), TEAM), at(100), out);
        expect(List.of(OWNERS.get(NEAR), OWNERS.get(FAR)), requestReceivers());
    }

    @Example
    void theNextOwnerGetsARequestAtOnceIfTheFirstHasNoTokens() {
        call(1, 0);
        LoanGrant none = new LoanGrant(NEAR, 1, 0, 0, Duration.ofMillis(50).toMillis(), true, Optional.empty());
        state = Borrowing.handleLoanGrant(state, none, TEAM, at(3), out);
        expect(List.of(OWNERS.get(NEAR), OWNERS.get(FAR)), requestReceivers());
    }

    /** A team far above its rate: the owners respond, and the few tokens that they lend are spent at once. */
    @Example
    void callsAboveTheRateAreRefusedForTheRateEvenIfOwnersLendSomeTokens() {
        for (int call = 1; call <= 100; call++) {
            call(call, 0);
        }
        for (int millis = 3; millis < 230; millis += 3) {
            LoanGrant few = new LoanGrant(NEAR, state.nextSeq() - 1, 1, 1_000, 0, true, Optional.empty());
            state = Borrowing.handleLoanGrant(state, few, TEAM, at(millis), out);
        }
        state = Borrowing.tick(state, HashTreePMap.singleton(TEAM.name(), TEAM), at(230), out);
        expect(true, !state.refused().isEmpty());
        expect(true, state.refused().stream().allMatch(QuotaState.RefusedCall::rateExceeded));
        Instant first = state.refused().get(0).retryAt();
        expect(true, first.isAfter(START.plusMillis(230)));
    }

    @Example
    void callsAreNotRefusedForTheRateIfNoOwnerResponds() {
        call(1, 0);
        for (int millis = 100; millis <= 300; millis += 100) {
            state = Borrowing.tick(state, HashTreePMap.singleton(TEAM.name(), TEAM), at(millis), out);
        }
        expect(1, state.refused().size());
        expect(false, state.refused().get(0).rateExceeded());
    }
}
