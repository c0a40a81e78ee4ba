/** What a target's node lets in: a concurrency limit, a short queue in order of worth, and fair shedding. */
package org.heatherhaven.core.logic.admission;
