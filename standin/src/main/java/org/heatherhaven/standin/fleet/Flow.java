package org.heatherhaven.standin.fleet;

import org.heatherhaven.core.model.Importance;

/**
 * A kind of root request of a deployment.
 *
 * @param name name of its route
 * @param path path of the requests
 * @param service name of the service that handles the requests
 * @param importance importance of the route; under overload, less important requests are shed first
 * @param unrepeatable true for requests that must run at most once
 * @param fraction fraction of all root requests, 0 to 1
 * @param usesBottleneck true if each request causes one call to the bottleneck service
 */
public record Flow(
        String name,
        String path,
        String service,
        Importance importance,
        boolean unrepeatable,
        double fraction,
        boolean usesBottleneck) {}
