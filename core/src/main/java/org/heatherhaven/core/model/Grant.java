package org.heatherhaven.core.model;

import java.util.Optional;

/**
 * The platform object that says who owns a right.
 *
 * @param holder process that may use the right while its standby promises not to take over
 * @param standby process that may take over, absent while none could be named
 * @param generation counts the changes of the object
 */
public record Grant(Owner holder, Optional<Owner> standby, long generation) {}
