package org.heatherhaven.core.logic.call;

import java.time.Instant;
import java.util.Optional;

import org.heatherhaven.core.event.TrafficEvent.CallRequest;
import org.heatherhaven.core.event.TrafficEvent.EntryPoint;
import org.heatherhaven.core.model.Importance;
import org.heatherhaven.core.model.Route;

/**
 * The data of a call that stay the same from its arrival to its end.
 *
 * @param number number of the call, never reused by this process
 * @param entryPoint whether it came from an outside caller or from this node's target
 * @param requestId identifier shown to the caller
 * @param rootId identifier of the root request that it belongs to
 * @param request request as the caller sent it
 * @param route policy route
 * @param originService service of this node's target when the call arrived
 * @param service service that runs it, chosen among those of the route
 * @param team team that it runs for, empty on open routes
 * @param importance importance inherited from the root request; the less important are shed first
 * @param teamImportance importance of the team, compared before {@code importance}
 * @param depth 0 for a root request, one more for each call below
 * @param arrivedAt when it arrived at this node
 * @param deadline when the caller stops waiting
 * @param policyVersion policy version that admitted the root request
 * @param parentContext context id of the running call that made it, empty for a root request
 * @param permitKey hash of route, team and idempotency key, for calls that need an idempotency permit
 */
public record CallInfo(
        long number,
        EntryPoint entryPoint,
        String requestId,
        String rootId,
        CallRequest request,
        Route route,
        String originService,
        String service,
        String team,
        Importance importance,
        Importance teamImportance,
        int depth,
        Instant arrivedAt,
        Instant deadline,
        long policyVersion,
        Optional<String> parentContext,
        Optional<String> permitKey) {

    /**
     * Returns whether the call must not run twice.
     *
     * @return true for calls that run at most once
     */
    public boolean unrepeatable() {
        return route.unrepeatable();
    }
}
