/** The doors for callers and for the node's own target: HTTP in, answers out. */
package org.heatherhaven.node.entry;
