package org.heatherhaven.core.logic.policy;

import java.time.Instant;
import java.util.Optional;

import net.jqwik.api.Example;
import org.heatherhaven.core.effect.Outbox;
import org.heatherhaven.core.logic.policy.PolicyLogic.PeerPolicyVersion;
import org.heatherhaven.core.model.NodeId;

/** A newer policy is fetched nearby if possible, and elsewhere if nobody nearby has it. */
class CrossZonePolicyPullTest {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final NodeId SELF = new NodeId("10.0.0.1:7000");

    private PolicyState state = PolicyState.start(START);

    /** Number of questions that the word of a peer leads to. */
    private int asks(boolean near, long version, int millis) {
        Outbox out = new Outbox();
        PeerPolicyVersion word = new PeerPolicyVersion(new NodeId("10.0.0.2:7000"), near, version, Optional.empty());
        state = PolicyLogic.handlePeerVersion(state, SELF, word, START.plusMillis(millis), out);
        return out.effects().size();
    }

    private static void expect(int expected, int actual) {
        if (expected != actual) {
            throw new AssertionError("expected " + expected + " questions, got " + actual);
        }
    }

    @Example
    void aNearPeerIsAskedAtOnce() {
        expect(0, asks(false, 5, 0));
        expect(1, asks(true, 5, 10));
    }

    @Example
    void anotherZoneIsAskedIfNobodyNearbyHasToldOfTheVersion() {
        expect(0, asks(false, 5, 0));
        expect(0, asks(false, 5, 200));
        expect(1, asks(false, 5, 400));
    }

    @Example
    void versionsInQuickSuccessionDoNotPutTheQuestionOff() {
        int asked = 0;
        for (int version = 5; version < 10; version++) {
            asked += asks(false, version, (version - 5) * 100);
        }
        if (asked == 0) {
            throw new AssertionError("nobody was asked in 0.4 s of newer and newer versions");
        }
    }
}
