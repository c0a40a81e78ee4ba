/** Admission of calls at a target: concurrency limit, short queue ordered by importance or urgency, and shedding. */
package org.heatherhaven.core.logic.admission;
