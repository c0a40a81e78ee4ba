/** A stand-in for targets: slots with a FIFO queue, nested calls, and adjustable slowness and refusals. */
package org.heatherhaven.standin.target;
