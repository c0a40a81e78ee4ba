/**
 * Exclusive leases: at most one holder in the whole fleet, with a standby that renews the lease and takes over when the
 * holder fails.
 *
 * <p>Renewals go between holder and standby. The platform's store is written only when holder or standby change, not as
 * a heartbeat.
 */
package org.heatherhaven.core.logic.leases;
