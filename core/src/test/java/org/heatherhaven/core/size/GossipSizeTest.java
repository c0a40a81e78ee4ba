package org.heatherhaven.core.size;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.heatherhaven.core.effect.Effect;
import org.heatherhaven.core.fleet.Faults;
import org.heatherhaven.core.fleet.SmallFleet;
import org.heatherhaven.core.fleet.TestNode;
import org.heatherhaven.core.message.MembersPage;
import org.heatherhaven.core.message.PeerMessage;
import org.heatherhaven.core.message.Probe;
import org.heatherhaven.core.message.ProbeAck;
import org.heatherhaven.core.model.Team;

/**
 * Checks that few member records are sent between zones while a whole fleet starts, and that every node still discovers
 * all members.
 */
class GossipSizeTest {

    private static final long SEED = 20_261_204;
    private static final int ZONES = 5;
    private static final Team ANY = new Team("any", 5, 5, 1);

    /**
     * Maximum average number of times that a node sends the record of one member to other zones, counted over all
     * nodes; most nodes send none.
     */
    private static final int MAX_CROSS_ZONE_SENDS = 5;

    /** Allowance for the records of itself that a node sends with probes and their responses. */
    private static final int OWN_RECORDS = 60;

    @Property
    void theStartOfAFleetSendsFewMemberRecordsBetweenZones(@ForAll("sizes") int nodes) {
        checkCrossZoneRecords(SEED, nodes);
    }

    @Provide
    Arbitrary<Integer> sizes() {
        return Arbitraries.of(12, 30, 95, 300);
    }

    private static void checkCrossZoneRecords(long seed, int nodes) {
        SmallFleet fleet = new SmallFleet(seed, Faults.NONE);
        long[] crossZone = {0};
        fleet.onSend(
                (from, send) -> crossZone[0] += crossesZones(fleet, from, send) ? memberRecords(send.message()) : 0);
        SizedFleet.started(fleet, seed, nodes, ZONES, ANY, 0);
        for (TestNode node : fleet.nodes()) {
            int known = node.state().fleet().members().size();
            if (known != nodes) {
                throw new AssertionError(node.id() + " has discovered " + known + " of " + nodes + " members");
            }
        }
        long perNode = crossZone[0] / nodes;
        if (perNode > (long) MAX_CROSS_ZONE_SENDS * nodes + OWN_RECORDS) {
            throw new AssertionError("each of " + nodes + " nodes sent " + perNode + " member records to other zones");
        }
    }

    private static boolean crossesZones(SmallFleet fleet, TestNode from, Effect.Send send) {
        return fleet.nodes().stream()
                .filter(node -> node.id().equals(send.to()))
                .anyMatch(node -> !node.state()
                        .fleet()
                        .self()
                        .zone()
                        .equals(from.state().fleet().self().zone()));
    }

    private static int memberRecords(PeerMessage message) {
        if (message instanceof Probe probe) {
            return 1 + probe.gossip().members().size();
        }
        if (message instanceof ProbeAck ack) {
            return 1 + ack.gossip().members().size();
        }
        return message instanceof MembersPage page ? page.members().size() : 0;
    }
}
