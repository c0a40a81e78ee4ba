/** Everything that a node does, as data for the interpreter. */
package org.heatherhaven.core.effect;
