/** Which calls a target makes for the requests it runs, learned from how often each of them comes. */
package org.heatherhaven.core.logic.callgraph;
