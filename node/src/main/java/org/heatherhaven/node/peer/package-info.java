/** Connections between nodes: one side offers calls, the other answers; control messages go both ways. */
package org.heatherhaven.node.peer;
