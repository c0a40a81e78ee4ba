/** The thin daemon beside each target: sockets and timers around the reducer of the core. */
package org.heatherhaven.node;
