/**
 * Enforces the rate and burst of teams over the whole fleet: the owners of a team's shares lend tokens to the nodes
 * where calls enter, and a share's bucket and its loans together never exceed the share.
 */
package org.heatherhaven.core.logic.quota;
