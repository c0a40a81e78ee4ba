package org.heatherhaven.core.model;

import java.util.Optional;

/**
 * Names the holder and the standby of a lease, as stored in one object on the platform.
 *
 * @param holder process that may use the lease as long as its standby grants renewals
 * @param standby process that may take over when it has stopped granting renewals; absent while no candidate was
 *     available
 * @param generation number of the object's revision; grows with every change of holder or standby
 */
public record Grant(Owner holder, Optional<Owner> standby, long generation) {}
