package org.heatherhaven.core.model;

import java.time.Duration;

/**
 * Policy for the requests under one path prefix.
 *
 * @param name unique name
 * @param path path prefix; the longest matching prefix wins
 * @param service service that runs the requests
 * @param importance order of shedding under overload
 * @param unrepeatable true for non-idempotent requests, which run at most once
 * @param open true if no key is needed
 * @param timeout longest and default time that a request may take
 * @param retries retry budget of one root request with all calls made for it
 */
public record Route(
        String name,
        String path,
        String service,
        Importance importance,
        boolean unrepeatable,
        boolean open,
        Duration timeout,
        int retries) {}
