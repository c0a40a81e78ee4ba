/** Reducer for all events of a node, composed of the reducers of the other packages. */
package org.heatherhaven.core.logic.node;
