package org.heatherhaven.core.model;

/**
 * An accepted patch and the policy version that it created.
 *
 * @param version number of the version
 * @param patch changes from the previous version to this one
 */
public record PolicyVersion(long version, PolicyPatch patch) {}
