/** Immutable values shared by all other packages, without behaviour beyond simple derivations and comparisons. */
package org.heatherhaven.core.model;
