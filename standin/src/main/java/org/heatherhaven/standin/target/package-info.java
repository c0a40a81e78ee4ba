/** A stand-in for targets: slots, a queue behind them, work for other services, cold starts, slowness. */
package org.heatherhaven.standin.target;
