package org.heatherhaven.core.model;

import java.util.List;

/**
 * Describes a call to the node of a target, ahead of the body.
 *
 * @param requestId identifier of the call
 * @param rootId identifier of the root request that caused the call
 * @param host host that the caller named
 * @param method HTTP method
 * @param path path with query, as the caller sent it
 * @param headers end-to-end headers without credentials
 * @param originService service of the target at the node where the call entered; empty if that node has no target
 * @param service service that runs the call
 * @param route name of the policy route
 * @param team team that the call is accounted to; empty on open routes
 * @param importance importance of the route, which orders calls for shedding
 * @param teamImportance importance of the team, which is compared before that of the route
 * @param depth 0 for a root request, one more for each nested call
 * @param remainingMillis time from the sending of the call until its deadline, milliseconds
 * @param aimMillis latency objective, milliseconds from the arrival of the call
 * @param retries retries of the root request's budget that this call and its nested calls may use
 * @param unrepeatable true if the call is not idempotent and must run at most once
 * @param attemptKind whether earlier attempts were made, and whether one of them reached a target
 * @param policyVersion policy version that admitted the root request
 */
public record CallHead(
        String requestId,
        String rootId,
        String host,
        String method,
        String path,
        List<Header> headers,
        String originService,
        String service,
        String route,
        String team,
        Importance importance,
        Importance teamImportance,
        int depth,
        long remainingMillis,
        long aimMillis,
        int retries,
        boolean unrepeatable,
        AttemptKind attemptKind,
        long policyVersion) {}
