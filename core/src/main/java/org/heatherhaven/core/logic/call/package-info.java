/** The way of a call through its entry node: key, team, tokens, permit, attempts, answer. */
package org.heatherhaven.core.logic.call;
