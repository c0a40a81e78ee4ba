/** Everything that can happen to a node, as data for the reducer. */
package org.heatherhaven.core.event;
