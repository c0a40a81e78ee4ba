/** Callers that send at a planned pace, whatever becomes of earlier requests, and that retry hard. */
package org.heatherhaven.standin.load;
