/** Which target runs a call: two random choices, near first, failing targets set aside for a while. */
package org.heatherhaven.core.logic.routing;
