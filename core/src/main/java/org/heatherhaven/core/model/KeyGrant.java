package org.heatherhaven.core.model;

/**
 * A key that was issued to a team.
 *
 * @param hash SHA-256 of the key, lower-case hexadecimal
 * @param team the team that the key speaks for
 */
public record KeyGrant(String hash, String team) {}
