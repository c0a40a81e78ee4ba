package org.heatherhaven.core.model;

/**
 * An accepted patch with the version it created.
 *
 * @param version number of the version
 * @param patch the changes that lead from the version before to this one
 */
public record PolicyVersion(long version, PolicyPatch patch) {}
