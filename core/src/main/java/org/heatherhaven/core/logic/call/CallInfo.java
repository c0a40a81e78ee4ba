package org.heatherhaven.core.logic.call;

import java.time.Instant;
import java.util.Optional;

import org.heatherhaven.core.event.TrafficEvent.CallRequest;
import org.heatherhaven.core.event.TrafficEvent.EntryPoint;
import org.heatherhaven.core.model.Importance;
import org.heatherhaven.core.model.Route;

/**
 * What stays the same for a call from its arrival to its end.
 *
 * @param call number of the call
 * @param door where it came from
 * @param requestId identifier shown to the caller
 * @param rootId identifier of the root request
 * @param request what the caller asked for
 * @param route policy route
 * @param service service that shall run it
 * @param team team that it runs for, empty on open routes
 * @param importance order of shedding, inherited from the root request
 * @param teamImportance order of shedding that goes before it, from the team
 * @param depth 0 for a root request
 * @param arrivedAt when it arrived
 * @param deadline when its caller gives up
 * @param policyVersion version that judged it
 * @param parent context id of the call that it was made for
 * @param permitKey hash of team and idempotency key, for calls that need a permit
 */
public record CallInfo(
        long call,
        EntryPoint door,
        String requestId,
        String rootId,
        CallRequest request,
        Route route,
        String service,
        String team,
        Importance importance,
        Importance teamImportance,
        int depth,
        Instant arrivedAt,
        Instant deadline,
        long policyVersion,
        Optional<String> parent,
        Optional<String> permitKey) {

    /**
     * Tells whether a second execution would do harm.
     *
     * @return true for requests that run at most once
     */
    public boolean unrepeatable() {
        return route.unrepeatable();
    }
}
