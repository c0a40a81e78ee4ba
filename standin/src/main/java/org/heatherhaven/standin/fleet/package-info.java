/** Whole fleets on loopback in one process: the users' deployments, at their sizes of today. */
package org.heatherhaven.standin.fleet;
