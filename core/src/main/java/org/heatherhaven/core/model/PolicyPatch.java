package org.heatherhaven.core.model;

import java.util.List;

/**
 * A set of changes that takes effect as a whole or not at all.
 *
 * @param id identifier chosen by the sender, to recognise the patch after a lost answer
 * @param base version that the patch was written against
 * @param author who sent it
 * @param note why, in the author's words
 * @param teams teams to add or replace
 * @param routes routes to add or replace
 * @param keys keys to issue
 * @param removedTeams names of teams to remove
 * @param removedRoutes names of routes to remove
 * @param withdrawnKeys hashes of keys to withdraw
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
