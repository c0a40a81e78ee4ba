/** State of the calls that enter the fleet at this node, from token and permit to attempts and answer. */
package org.heatherhaven.core.logic.call;
