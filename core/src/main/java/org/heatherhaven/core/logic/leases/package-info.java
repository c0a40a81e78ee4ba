/**
 * Exclusive rights: one holder over the whole fleet, by a lease whose standby promises not to take over.
 *
 * <p>The platform is written when something fails, never as a heartbeat.
 */
package org.heatherhaven.core.logic.leases;
