package org.heatherhaven.core.model;

import java.util.List;

/**
 * All that the node of a target needs to know of a call before its body arrives.
 *
 * @param requestId identifier of the call
 * @param rootId identifier of the root request that the call works for
 * @param host host that the caller named
 * @param method HTTP method
 * @param path path with query, as the caller sent it
 * @param headers end-to-end headers without credentials
 * @param originService service beside whose target the call entered; empty if there is none
 * @param service service that shall run the call
 * @param route name of the policy route
 * @param team team that the call runs for, empty on open routes
 * @param importance order of shedding
 * @param teamImportance order of shedding that goes before it, from the team
 * @param depth 0 for a root request, one more for each call below
 * @param remainingMillis time left until the deadline, milliseconds
 * @param aimMillis time from its arrival within which an answer is worth the most, milliseconds
 * @param retries part of the retry budget handed down with the call
 * @param unrepeatable true if the call must run at most once
 * @param attemptKind whether nodes or targets were tried before
 * @param policyVersion version that admitted the root request
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
