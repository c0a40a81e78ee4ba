package org.heatherhaven.core.model;

/**
 * One HTTP header field.
 *
 * @param name field name as received
 * @param value field value
 */
public record Header(String name, String value) {}
