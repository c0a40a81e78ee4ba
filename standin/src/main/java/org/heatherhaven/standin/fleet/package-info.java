/** Runs whole fleets on loopback in one process, in the shape and at the current size of the users' deployments. */
package org.heatherhaven.standin.fleet;
