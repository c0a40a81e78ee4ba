package org.heatherhaven.core.logic.placement;

import java.util.List;
import java.util.Map;

import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.RightId;
import org.heatherhaven.core.model.Team;

/**
 * The shares of one team.
 *
 * @param team the team as in the policy from which they were worked out
 * @param effectiveTeam the team with the number of its shares
 * @param requestOrder shares in the order in which this node asks for tokens
 * @param owners the member that lends out each share
 */
record TeamShares(Team team, Team effectiveTeam, List<RightId> requestOrder, Map<RightId, NodeId> owners) {}
