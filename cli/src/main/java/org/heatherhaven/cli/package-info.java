/** The command line: runs nodes and stand-ins, sends operator requests, and runs the demo and the measurements. */
package org.heatherhaven.cli;
