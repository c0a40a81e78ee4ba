/** Stand-ins for the surroundings of a fleet: platform, targets and callers, used by tests and measurements only. */
package org.heatherhaven.standin;
