package org.heatherhaven.core.model;

/**
 * Availability zone of a node.
 *
 * @param region region that the zone lies in
 * @param name name of the zone, unique within its region
 */
public record Zone(String region, String name) {

    @Override
    public String toString() {
        return region + "/" + name;
    }
}
