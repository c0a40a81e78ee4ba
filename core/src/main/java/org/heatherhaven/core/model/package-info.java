/** Immutable values that nodes, policy and peers share; no behaviour beyond their own invariants. */
package org.heatherhaven.core.model;
