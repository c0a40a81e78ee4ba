/** HTTP/1.1 listeners for callers and for calls of the node's own target, and the exchanges of the calls received. */
package org.heatherhaven.node.entry;
