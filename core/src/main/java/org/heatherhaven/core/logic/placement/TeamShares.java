package org.heatherhaven.core.logic.placement;

import java.util.List;
import java.util.Map;

import org.heatherhaven.core.model.LeaseId;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.Team;

/**
 * The shares of one team and their owners.
 *
 * @param team the team as in the policy
 * @param effectiveTeam the team with the number of shares and the burst that are in force
 * @param requestOrder shares that this node borrows from, in the order of its requests
 * @param owners the member that lends the tokens of each share
 */
record TeamShares(Team team, Team effectiveTeam, List<LeaseId> requestOrder, Map<LeaseId, NodeId> owners) {}
