/** Counters and gauges of a node. */
package org.heatherhaven.node.metrics;
