/** What entry nodes know of overload behind a route, so that doomed requests are refused at the front door. */
package org.heatherhaven.core.logic.pressure;
