/** Estimates which calls a target makes per run of each route, from counts of runs and calls. */
package org.heatherhaven.core.logic.callgraph;
