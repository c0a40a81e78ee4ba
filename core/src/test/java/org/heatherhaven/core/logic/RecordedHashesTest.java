package org.heatherhaven.core.logic;

import java.util.ArrayList;
import java.util.List;

import net.jqwik.api.Example;
import org.heatherhaven.core.logic.admission.QueuedCall;
import org.heatherhaven.core.logic.idempotency.IdempotencyLogic;
import org.heatherhaven.core.model.LeaseId;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.Owner;
import org.heatherhaven.core.model.Zone;
import org.heatherhaven.core.recorded.Recorded;

/** Hashes, and the texts that values enter them as, are equal on nodes of all versions. */
class RecordedHashesTest {

    private static final List<String> TEXTS = List.of(
            "", "a", "10.1.0.1:7000", "watch|north/n1", "right|share/banquets/3", "a request from Zürich", "0a1b2c3d");

    @Example
    void hashesAreThoseRecorded() {
        List<String> lines = new ArrayList<>();
        for (String text : TEXTS) {
            lines.add("hash " + Hashes.of(text) + " '" + text + "'");
            lines.add("bucket-of-1000 " + Hashes.bucket(text, 1_000) + " '" + text + "'");
            lines.add("point " + Hashes.unitFraction(text) + " '" + text + "'");
            lines.add("cohort " + QueuedCall.bucketOf(text) + " '" + text + "'");
            lines.add("slot " + IdempotencyLogic.slotOf("bookings", text) + " '" + text + "'");
        }
        Recorded.requireSame("hashes.txt", lines);
    }

    @Example
    void valuesEnterHashesAsTheTextsRecorded() {
        NodeId node = new NodeId("10.1.0.1:7000");
        Recorded.requireSame(
                "texts.txt",
                List.of(
                        "node " + node,
                        "zone " + new Zone("north", "n1"),
                        "share " + new LeaseId(LeaseId.Kind.SHARE, "banquets", 3),
                        "slot " + new LeaseId(LeaseId.Kind.SLOT, "bookings", 5),
                        "owner " + new Owner(node, 1_700_000_000_123L)));
    }
}
