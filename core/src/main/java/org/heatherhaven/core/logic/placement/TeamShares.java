package org.heatherhaven.core.logic.placement;

import java.util.List;
import java.util.Map;

import org.heatherhaven.core.model.LeaseId;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.Team;

/**
 * The shares of one team.
 *
 * @param team the team as in the policy from which they were worked out
 * @param divided the team with the number of its shares
 * @param asked shares in the order in which this node asks for tokens
 * @param owners the member that lends out each share
 */
record TeamShares(Team team, Team divided, List<LeaseId> asked, Map<LeaseId, NodeId> owners) {}
