package org.heatherhaven.standin.fleet;

import org.heatherhaven.core.model.Importance;

/**
 * One kind of root request.
 *
 * @param name name of its route
 * @param path path of the requests
 * @param service service that runs them
 * @param importance order of shedding
 * @param unrepeatable true for requests that run at most once
 * @param fraction part of all root requests, 0 to 1
 * @param usesBottleneck true if each makes one call to the service that is short
 */
public record Flow(
        String name,
        String path,
        String service,
        Importance importance,
        boolean unrepeatable,
        double fraction,
        boolean usesBottleneck) {}
