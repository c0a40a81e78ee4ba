/** Retries: one budget for the whole tree of a root request, and a share of calls for each service. */
package org.heatherhaven.core.logic.retry;
