/** Who is in the fleet: ring probing with suspicion and refutation, news carried by the probes. */
package org.heatherhaven.core.logic.membership;
