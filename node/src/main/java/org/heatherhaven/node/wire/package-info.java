/** Frames between nodes: length, type, number of the call, payload; MessagePack by library. */
package org.heatherhaven.node.wire;
