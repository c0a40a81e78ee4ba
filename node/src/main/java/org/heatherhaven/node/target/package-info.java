/** Calls to the node's own target over HTTP/1.1, with flow control of request and answer bodies. */
package org.heatherhaven.node.target;
