/** Everything that can happen to a node, as data: the input of the reducer. */
package org.heatherhaven.core.event;
