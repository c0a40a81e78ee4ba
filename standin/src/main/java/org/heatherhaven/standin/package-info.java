/** Stand-ins for what surrounds the system: platform, targets and callers; never part of a node. */
package org.heatherhaven.standin;
