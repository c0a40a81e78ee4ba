/** Typed messages between nodes; the encoding is part of the node module. */
package org.heatherhaven.core.message;
