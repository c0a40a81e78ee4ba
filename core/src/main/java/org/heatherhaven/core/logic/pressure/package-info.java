/** Overload behind each route as reported to entry nodes, which shed requests before any work is done for them. */
package org.heatherhaven.core.logic.pressure;
