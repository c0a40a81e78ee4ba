package org.heatherhaven.core.model;

import java.util.Optional;

/**
 * Names the holder and the standby of a lease, as stored in one object on the platform.
 *
 * @param holder process that may use the lease while its last renewal by the standby is valid, or without limit if
 *     there is no standby
 * @param standby process that renews the lease, and may take it over after its last renewal has ended; absent while no
 *     candidate was available
 * @param generation number of the object's revision; grows with every change of holder or standby
 */
public record Grant(Owner holder, Optional<Owner> standby, long generation) {}
