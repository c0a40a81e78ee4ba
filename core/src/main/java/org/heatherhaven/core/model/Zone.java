package org.heatherhaven.core.model;

/**
 * Availability zone that a node runs in.
 *
 * @param region region of the zone
 * @param name name of the zone, unique within its region
 */
public record Zone(String region, String name) {

    @Override
    public String toString() {
        return region + "/" + name;
    }
}
