package org.heatherhaven.core.logic.quota;

import java.time.Instant;
import java.util.List;
import java.util.Optional;

import org.heatherhaven.core.model.LeaseId;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.Owner;
import org.heatherhaven.core.model.Team;

/** Who lends out the shares of the teams' rates. */
public interface ShareOwners {

    /**
     * Leave to lend out a share.
     *
     * @param term counts the owners of the share; a bucket of an earlier term is void
     * @param full true if the bucket may start full, because nobody had it before
     * @param since since when tokens gather in a bucket that doesn't start full
     */
    record Leave(long term, boolean full, Instant since) {}

    /**
     * This process.
     *
     * @return the process that asks and lends
     */
    Owner self();

    /**
     * The shares of a team, in the order in which this node asks them.
     *
     * @param team the team
     * @return at least one share, unless no owner is known
     */
    List<LeaseId> shares(Team team);

    /**
     * The team with the number of shares in force.
     *
     * @param team the team as in the policy
     * @return the team as it is divided now
     */
    Team divided(Team team);

    /**
     * The node that lends out a share.
     *
     * @param share the share
     * @return the node, as far as is known here
     */
    Optional<NodeId> ownerOf(LeaseId share);

    /**
     * Whether this process may lend out a share now.
     *
     * @param share the share
     * @param now the time
     * @return the leave, absent if it may not
     */
    Optional<Leave> leave(LeaseId share, Instant now);
}
