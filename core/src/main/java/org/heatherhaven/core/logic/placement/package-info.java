/** Which members lend out the teams' rates, worked out by every node alike from the members it knows. */
package org.heatherhaven.core.logic.placement;
