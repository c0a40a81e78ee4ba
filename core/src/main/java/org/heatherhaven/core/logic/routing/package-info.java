/**
 * Choice of the target that runs a call: two random choices, near targets first, failing targets avoided for a time.
 */
package org.heatherhaven.core.logic.routing;
