/** The node's own target: calls handed to it over HTTP, with flow control in both directions. */
package org.heatherhaven.node.target;
