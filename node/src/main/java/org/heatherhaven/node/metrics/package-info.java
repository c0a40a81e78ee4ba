/** Metrics of a node. */
package org.heatherhaven.node.metrics;
