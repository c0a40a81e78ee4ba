package org.heatherhaven.core.model;

import java.util.List;

/**
 * A complete policy in the form in which it is stored and sent.
 *
 * @param version number of the policy version
 * @param teams all teams
 * @param routes all routes
 * @param keys all valid keys
 */
public record PolicySnapshot(long version, List<Team> teams, List<Route> routes, List<KeyGrant> keys) {}
