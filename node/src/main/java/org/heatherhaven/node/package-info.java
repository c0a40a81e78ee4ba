/** The node process beside each target: sockets and timers around the reducer of the core module. */
package org.heatherhaven.node;
