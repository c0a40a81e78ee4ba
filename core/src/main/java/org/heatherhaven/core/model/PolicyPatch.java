package org.heatherhaven.core.model;

import java.util.List;

/**
 * A set of policy changes that is applied atomically.
 *
 * @param id identifier chosen by the sender, by which a resubmission after a lost response is recognised
 * @param base policy version that the patch was written against
 * @param author name of the operator who sent it
 * @param note explanation of the change by its author
 * @param teams teams to add or replace
 * @param routes routes to add or replace
 * @param keys keys to add
 * @param removedTeams names of teams to remove
 * @param removedRoutes names of routes to remove
 * @param withdrawnKeys hashes of keys to revoke
 */
public record PolicyPatch(
        String id,
        long base,
        String author,
        String note,
        List<Team> teams,
        List<Route> routes,
        List<KeyGrant> keys,
        List<String> removedTeams,
        List<String> removedRoutes,
        List<String> withdrawnKeys) {}
