/** Retry limits: one budget for the call tree of each root request, and one for each service. */
package org.heatherhaven.core.logic.retry;
