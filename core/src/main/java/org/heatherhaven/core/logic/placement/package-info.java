/** Assigns the shares of the teams' rates to members; every node computes the same owners from the same member list. */
package org.heatherhaven.core.logic.placement;
