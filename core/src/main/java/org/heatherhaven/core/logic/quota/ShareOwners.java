package org.heatherhaven.core.logic.quota;

import java.time.Instant;
import java.util.List;
import java.util.Optional;

import org.heatherhaven.core.model.LeaseId;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.Owner;
import org.heatherhaven.core.model.Team;

/** Finds the owners of the teams' shares: the processes that lend the tokens of these shares. */
public interface ShareOwners {

    /**
     * Permission to lend the tokens of a share.
     *
     * @param term number that changes with the owner of the share; a bucket of another term is discarded
     * @param startsFull true if a new bucket starts full, because the share had no owner before
     * @param accruesSince time from which tokens accrue in a new bucket that does not start full
     */
    record LendingPermission(long term, boolean startsFull, Instant accruesSince) {}

    /**
     * Returns this process.
     *
     * @return the process that borrows and lends
     */
    Owner self();

    /**
     * Returns the shares of a team that this node borrows from, in the order of its requests.
     *
     * @param team the team
     * @return the shares, empty only if no owner is known
     */
    List<LeaseId> shares(Team team);

    /**
     * Returns the team with the number of shares and the burst that are in force.
     *
     * @param team the team as in the policy
     * @return the team with its current division
     */
    Team withEffectiveShares(Team team);

    /**
     * Returns the node that lends the tokens of a share.
     *
     * @param share the share
     * @return the presumed owner, empty if none is known
     */
    Optional<NodeId> ownerOf(LeaseId share);

    /**
     * Returns the permission of this process to lend the tokens of a share.
     *
     * @param share the share
     * @param now current time
     * @return the permission, empty if this process may not lend now
     */
    Optional<LendingPermission> lendingPermission(LeaseId share, Instant now);
}
