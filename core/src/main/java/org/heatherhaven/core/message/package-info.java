/** Typed messages between nodes; the codec lives with the sockets. */
package org.heatherhaven.core.message;
