package org.heatherhaven.core.model;

/**
 * Associates an API key with the team that it was issued to.
 *
 * @param hash SHA-256 of the key, lower-case hexadecimal
 * @param team team that requests with this key are accounted to
 */
public record KeyGrant(String hash, String team) {}
