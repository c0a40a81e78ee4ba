/**
 * Connections between nodes.
 *
 * <p>Calls and control messages are sent on the connection that the sending node opened; the answer to a call returns on
 * the connection of the call.
 */
package org.heatherhaven.node.peer;
