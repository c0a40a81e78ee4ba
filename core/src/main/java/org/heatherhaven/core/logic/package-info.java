/**
 * Decision logic as pure functions, one package for each concern. It does no I/O, starts no threads and doesn't read
 * the clock: the current time is a parameter.
 */
package org.heatherhaven.core.logic;
