package org.heatherhaven.core.model;

import java.util.List;

/**
 * A whole policy in transportable form.
 *
 * @param version number of the version
 * @param teams all teams
 * @param routes all routes
 * @param keys all keys in force
 */
public record PolicySnapshot(long version, List<Team> teams, List<Route> routes, List<KeyGrant> keys) {}
