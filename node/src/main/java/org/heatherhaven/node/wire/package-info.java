/** Binary protocol between nodes: frames, their MessagePack payloads, and the handshake that authenticates a peer. */
package org.heatherhaven.node.wire;
