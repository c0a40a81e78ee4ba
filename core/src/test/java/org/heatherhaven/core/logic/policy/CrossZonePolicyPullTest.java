package org.heatherhaven.core.logic.policy;

import java.time.Instant;
import java.util.Optional;

import net.jqwik.api.Example;
import org.heatherhaven.core.effect.Outbox;
import org.heatherhaven.core.logic.policy.PolicyLogic.PeerPolicyVersion;
import org.heatherhaven.core.model.NodeId;

/** A newer policy is requested from a peer in the same zone if one has it, otherwise from a peer in another zone. */
class CrossZonePolicyPullTest {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final NodeId SELF = new NodeId("10.0.0.1:7000");

    private PolicyState state = PolicyState.start(START);

    /** Returns the number of requests that are sent when a peer reports its version. */
    private int pulls(boolean sameZone, long version, int millis) {
        Outbox out = new Outbox();
        PeerPolicyVersion reported =
                new PeerPolicyVersion(new NodeId("10.0.0.2:7000"), sameZone, version, Optional.empty());
        state = PolicyLogic.handlePeerVersion(state, SELF, reported, START.plusMillis(millis), out);
        return out.effects().size();
    }

    private static void expect(int expected, int actual) {
        if (expected != actual) {
            throw new AssertionError("expected " + expected + " requests, got " + actual);
        }
    }

    @Example
    void aNewerVersionIsRequestedFromTheSameZoneImmediately() {
        expect(0, pulls(false, 5, 0));
        expect(1, pulls(true, 5, 10));
    }

    @Example
    void aNewerVersionIsRequestedFromAnotherZoneIfNoneInTheSameZoneReportsItInTime() {
        expect(0, pulls(false, 5, 0));
        expect(0, pulls(false, 5, 200));
        expect(1, pulls(false, 5, 400));
    }

    @Example
    void newVersionsInQuickSuccessionDoNotDelayTheRequest() {
        int requests = 0;
        for (int version = 5; version < 10; version++) {
            requests += pulls(false, version, (version - 5) * 100);
        }
        if (requests == 0) {
            throw new AssertionError("no request was sent while newer versions were reported for 0.4 s");
        }
    }
}
